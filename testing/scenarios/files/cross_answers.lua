-- Answers that come late, crossed or cut never reach a caller as his own.
-- Seeds: 1

local lists = require("lists")

cell{ entries = 1, workers = 1, executors = 3, daemon = lists.daemon }
lists.publish_all("e-a-1")
for i = 1, 3 do
  fault("x-a-0" .. i, { cross_answers = true })
end
fault("x-b-01", { cut_answer_share = 0.5 })
fault("x-c-01", { delay_ms = 300 })
local result = wait_load(load{ count = 300, rate = 100,
                               request = { plan = "kapwa-preview",
                                           timeout_ms = 25000 } })
expect("every caller was answered", function()
  return result.answered == 300 and result.fates.none == nil
end, 0)
