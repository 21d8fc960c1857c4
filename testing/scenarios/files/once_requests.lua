-- A non-idempotent request runs at most once, though it is repeated through
-- several VMs at once, answers of the log are lost and answers of executors cut.
-- Seeds: 1 2 3

local lists = require("lists")

cell{ entries = 2, workers = 1, executors = 2, daemon = lists.daemon }
lists.publish_all("e-a-1")
fault("log", { lose_answer_share = 0.2 })
fault("x-a-01", { cut_answer_share = 0.3 })
fault("x-b-01", { fail_share = 0.3 })

local loads = {}
for i = 1, 30 do
  loads[#loads + 1] = load{
    entries = { "e-a-1", "e-a-2", "e-b-1", "e-c-2" }, count = 4, rate = 200,
    request = { plan = "kapwa-bulk", key = "settle-" .. seed .. "-" .. i,
                non_idempotent = true, service_ms = random(50),
                timeout_ms = 25000 } }
  if i == 15 then
    kill("e-a-2")
    pass_ms(200)
    start("e-a-2")
  end
end
local answered = 0
for _, number in ipairs(loads) do
  answered = answered + wait_load(number).answered
end
expect("every caller was answered", function() return answered == 120 end, 0)
