-- No VM is given more processors, memory or accelerators than it has, with far
-- more work than fits, an owner killed, and workers that report late.
-- Seeds: 1 2

local lists = require("lists")

cell{ entries = 2, workers = 3, executors = 1, daemon = lists.daemon,
      worker = { ["cpu-millis"] = 16000, ["memory-mb"] = 64000,
                 accelerators = 4, ["report-lag-ms"] = 300 } }
lists.publish_all("e-a-1")

local sizes = {
  { cpu_millis = 7000, memory_mb = 1000 },
  { cpu_millis = 500, memory_mb = 30000 },
  { cpu_millis = 100, memory_mb = 100, accelerators = 3 },
}
local loads = {}
for _, size in ipairs(sizes) do
  size.plan = "kapwa-nightly"
  size.payload = "run_ms=300"
  loads[#loads + 1] = load{ count = 40, rate = 40, task = size }
end
pass_ms(300 + random(700))
kill("e-a-1")
pass_ms(random(1000))
start("e-a-1")
for _, number in ipairs(loads) do
  wait_load(number)
end
