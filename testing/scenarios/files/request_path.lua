-- Every caller receives the whole answer to its own request.
-- Seeds: 1

local lists = require("lists")

cell{ entries = 2, workers = 2, executors = 2,
  daemon = lists.daemon }
lists.publish_all("e-a-1")

local answer = request("e-a-1", { plan = "kapwa-preview", service_ms = 5 })
expect("a preview ran", function() return answer.fate == "ran" end, 0)

local all = load{ count = 300, rate = 150, request = { plan = "kapwa-preview" } }
local result = wait_load(all)
expect("all previews ran", function() return result.fates.ran == 300 end, 0)
