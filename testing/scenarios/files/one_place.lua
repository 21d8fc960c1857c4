-- A task never runs in two places, while owners are killed and paused beyond
-- their leases, workers restart and answers of workers are lost.
-- Seeds: 1 2

local lists = require("lists")

cell{ entries = 2, workers = 3, executors = 1, daemon = lists.daemon }
lists.publish_all("e-a-1")

for _, domain in ipairs({ "a", "b", "c" }) do
  for i = 1, 3 do
    fault(string.format("w-%s-%02d", domain, i), { lose_answer_share = 0.1 })
  end
end

local once = load{ count = 60, rate = 20,
                   task = { plan = "kapwa-nightly", cpu_millis = 2000,
                            memory_mb = 100, payload = "run_ms=400",
                            non_idempotent = true } }
local repeated = load{ count = 60, rate = 20,
                       task = { plan = "kapwa-nightly", cpu_millis = 2000,
                                memory_mb = 100, payload = "run_ms=400" } }

local domains = { "a", "b", "c" }
for _ = 1, 4 do
  local name = "e-" .. domains[random(3)] .. "-" .. random(2)
  local action = random(3)
  if action == 1 then
    say("kill " .. name)
    kill(name)
    pass_ms(random(800))
    start(name)
  elseif action == 2 then
    say("pause " .. name)
    pause(name)
    pass_ms(1500 + random(1000))
    resume(name)
  else
    local worker = "w-" .. domains[random(3)] .. "-0" .. random(3)
    say("restart " .. worker)
    restart_worker(worker)
    pass_ms(random(500))
  end
end
wait_load(once)
wait_load(repeated)
for _, domain in ipairs(domains) do
  for i = 1, 3 do
    fault(string.format("w-%s-%02d", domain, i), {})
  end
end
