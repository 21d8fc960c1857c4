-- The log is down, slow, over its rate and loses answers; then it is back.
-- Seeds: 1 2

local lists = require("lists")

cell{ entries = 2, workers = 3, executors = 2, daemon = lists.daemon }
lists.publish_all("e-a-1")

local task = { plan = "kapwa-nightly", cpu_millis = 4000, memory_mb = 100,
               payload = "run_ms=400", non_idempotent = true }
local before = load{ count = 60, rate = 60, task = task }
pass_ms(200 + random(600))
fault("log", { lose_answer_share = 0.5, late_effect_ms = random(500) })
local during = load{ count = 40, rate = 40, task = task }
pass_ms(1500)
fault("log", { outage = true })
local previews = wait_load(load{ count = 200, rate = 200,
                                 request = { plan = "kapwa-preview" } })
expect("previews need no log", function()
  return previews.fates.ran == 200
end, 0)
local refused = submit("e-b-1", task)
expect("a task is not accepted without a log", function()
  return refused.status ~= 202
end, 0)
pass_ms(random(1500))
fault("log", { delay_ms = 300 })
pass_ms(1000)
fault("log", {})
wait_load(before)
wait_load(during)
expect("tasks are accepted again", function()
  return submit("e-b-1", task).status == 202
end, 20)
