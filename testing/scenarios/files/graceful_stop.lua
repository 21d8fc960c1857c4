-- A planned stop cuts off no request in flight.
-- Seeds: 1

local lists = require("lists")

cell{ entries = 2, workers = 2, executors = 2, daemon = lists.daemon }
lists.publish_all("e-a-1")

local flying = load{ entries = { "e-a-1" }, count = 12, rate = 500,
                     request = { plan = "kapwa-preview", service_ms = 1200 } }
pass_ms(300)
expect("the VM stops with exit code 0", function()
  return stop("e-a-1") == 0
end, 0)
local result = wait_load(flying)
expect("every request in flight ran", function()
  return result.fates.ran == 12
end, 0)
expect("the domain's other VM serves", function()
  return request("e-a-2", { plan = "kapwa-preview" }).fate == "ran"
end, 5)
start("e-a-1")
lists.expect_serving("e-a-1")
