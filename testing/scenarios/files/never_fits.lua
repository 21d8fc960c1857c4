-- A task that can never fit fails at once, with the reason.
-- Seeds: 1

local lists = require("lists")

cell{ entries = 1, workers = 4, executors = 1, daemon = lists.daemon }
lists.publish_all("e-a-1")
rules{ end_limit_ms = 10000 }

local giant = submit("e-a-1", { plan = "kapwa-nightly", cpu_millis = 9000000 })
expect("a task that can never fit does not wait", function()
  if giant.status ~= 202 then
    return true
  end
  local told = fate("e-a-1", giant.id)
  return told.fate == "failed" and told.reason ~= ""
end, 10)
