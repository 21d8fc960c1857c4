-- A failure domain that is cut off from the others and from the platform goes on
-- serving what it can; nothing runs twice or is lost when the cut heals.
-- Seeds: 1 2

local lists = require("lists")

cell{ entries = 2, workers = 3, executors = 2, daemon = lists.daemon }
lists.publish_all("e-a-1")

local tasks = load{ count = 90, rate = 45,
                    task = { plan = "kapwa-nightly", cpu_millis = 20000,
                             memory_mb = 100, payload = "run_ms=600",
                             non_idempotent = true } }
pass_ms(1000)
cut("a", "all")
cut("a", "platform")
pass_ms(1500)
local cut_off = wait_load(load{
  entries = { "e-a-1", "e-a-2" }, count = 200, rate = 200,
  request = { plan = "kapwa-preview", service_ms = 5 } })
expect("the cut-off domain serves previews", function()
  return cut_off.fates.ran == 200
end, 0)
local rest = wait_load(load{
  entries = { "e-b-1", "e-c-2" }, count = 200, rate = 200,
  request = { plan = "kapwa-preview", service_ms = 5 } })
expect("the others serve previews", function()
  return rest.fates.ran == 200
end, 0)
local once = request("e-a-1", { plan = "kapwa-bulk", non_idempotent = true })
expect("a non-idempotent request is refused as not run", function()
  return once.fate == "not-run"
end, 0)
heal("a", "all")
heal("a", "platform")
wait_load(tasks)
