-- An accepted task runs, on one worker at a time, and its fate is told.
-- Seeds: 1

local lists = require("lists")

cell{ entries = 1, workers = 4, executors = 1, daemon = lists.daemon }
lists.publish_all("e-a-1")

local one = submit("e-a-1", { plan = "kapwa-nightly", cpu_millis = 1000,
                              memory_mb = 100, payload = "run_ms=300",
                              non_idempotent = true })
expect("the task is accepted", function() return one.status == 202 end, 0)
expect("it finishes", function()
  return fate("e-b-1", one.id).fate == "finished"
end, 20)

local all = load{ count = 200, rate = 100,
                  task = { plan = "kapwa-nightly", cpu_millis = 4000,
                           memory_mb = 1000, payload = "run_ms=500" } }
local result = wait_load(all)
expect("all submissions are accepted", function()
  return result.statuses["202"] == 200
end, 0)
