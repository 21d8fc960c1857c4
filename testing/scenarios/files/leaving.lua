-- A leaving upstream gets no new work after a few seconds, and what it has goes
-- on to its end.
-- Seeds: 1

local lists = require("lists")

cell{ entries = 2, workers = 3, executors = 2, daemon = lists.daemon,
      vmlist = { ["lag-ms"] = 500 } }
lists.publish_all("e-a-1")
rules{ leaving_limit_ms = 2000 }

local requests = load{ count = 1200, rate = 200,
                       request = { plan = "kapwa-preview", service_ms = 20 } }
local tasks = load{ count = 120, rate = 20,
                    task = { plan = "kapwa-nightly", cpu_millis = 1000,
                             memory_mb = 100, payload = "run_ms=300" } }
pass_ms(1000)
leave("x-a-01")
leave("w-a-01")
local result = wait_load(requests)
expect("no request was lost", function()
  return result.fates.ran == 1200
end, 0)
wait_load(tasks)
