-- Under faults no executor has more requests than slots, nothing
-- non-idempotent runs twice, and every fate that a caller hears is true.
-- Seeds: 1 2

local lists = require("lists")

cell{ domains = { "a" }, entries = 3, workers = 1, executors = 4,
  daemon = lists.daemon,
  executor = { ["median-ms"] = 15, ["straggler-share"] = 0.02,
               ["straggler-factor"] = 50 } }
lists.publish_all("e-a-1")

local previews = load{ count = 5000, rate = 500,
                       request = { plan = "kapwa-preview" } }
local settlements = load{ count = 2500, rate = 250,
                          request = { plan = "kapwa-bulk",
                                      non_idempotent = true } }
pass_ms(1000)
say("a paused VM: its loans lapse meanwhile")
pause("e-a-2")
pass_ms(1800)
resume("e-a-2")
say("a VM that dies and comes back")
kill("e-a-3")
pass_ms(1000)
start("e-a-3")
say("answers that are cut, late or crossed")
fault("x-a-01", { cut_answer_share = 0.05 })
fault("x-a-02", { delay_ms = 30, cross_answers = true })
pass_ms(1500)
fault("x-a-01", {})
fault("x-a-02", {})
say("an executor that leaves")
leave("x-a-04")
pass_ms(1000)
say("a planned stop")
expect("the stopped VM exits with 0", function()
  return stop("e-a-1") == 0
end, 0)
local first = wait_load(previews)
local second = wait_load(settlements)
say("previews ran: " .. tostring(first.fates.ran) ..
    ", settlements ran: " .. tostring(second.fates.ran))
expect("most previews ran", function() return first.fates.ran > 2500 end, 0)
