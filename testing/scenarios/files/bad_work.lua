-- Workers that fail everything they start don't hold up the rest, and cancelled
-- tasks end.
-- Seeds: 1

local lists = require("lists")

cell{ entries = 1, workers = 4, executors = 1, daemon = lists.daemon }
lists.publish_all("e-a-1")

fault("w-a-01", { fail_starts = true })
fault("w-b-02", { fail_starts = true })
local tasks = load{ count = 80, rate = 40,
                    task = { plan = "kapwa-nightly", cpu_millis = 1000,
                             memory_mb = 100, payload = "run_ms=200" } }
wait_load(tasks)

local long = {}
for i = 1, 30 do
  local answer = submit("e-b-1", { plan = "kapwa-nightly", cpu_millis = 1000,
                                   memory_mb = 10, payload = "run_ms=600000" })
  if answer.status == 202 then
    long[#long + 1] = answer.id
  end
end
local cancelled = post("e-c-1", "/v1/tasks/cancel", { ids = long })
expect("the wave of cancellations is taken", function()
  return cancelled.status == 202
end, 0)
expect("all cancelled tasks end", function()
  for _, id in ipairs(long) do
    if fate("e-c-1", id).fate ~= "cancelled" then
      return false
    end
  end
  return true
end, 20)
