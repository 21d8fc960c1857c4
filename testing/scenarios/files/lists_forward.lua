-- An accepted list is in force everywhere within seconds and never reverts:
-- edits by two operators at once, restarts, a log outage, late effects.
-- Seeds: 1

local lists = require("lists")

cell{ entries = 2, workers = 1, executors = 1, daemon = lists.daemon }
lists.publish_all("e-a-1")

local function edited(weight)
  local rows = {}
  for i, row in ipairs(lists.allowances) do
    rows[i] = {}
    for name, value in pairs(row) do
      rows[i][name] = value
    end
    rows[i].weight = weight
  end
  return rows
end

local both = publish_together{
  { entry = "e-a-1", list = "allowances", rows = edited(10), base_version = 1 },
  { entry = "e-b-1", list = "allowances", rows = edited(20), base_version = 1 },
}
local accepted, refused = both[1], both[2]
if accepted.status ~= 200 then
  accepted, refused = refused, accepted
end
expect("one of two edits of version 1 is accepted", function()
  return accepted.status == 200 and refused.status == 409
end, 0)
expect("the other operator is told the difference", function()
  return refused.diff ~= nil and #refused.diff > 0
end, 0)
lists.expect_in_force("allowances", 2, 2)

kill("e-b-1")
start("e-b-1")
fault("log", { lose_answer_share = 0.5, late_effect_ms = 400 })
local version = 2
for weight = 30, 36 do
  local answer = publish("e-c-1", "allowances", edited(weight))
  if answer.status == 200 then
    version = answer.version
  end
end
fault("log", {})
lists.expect_in_force("allowances", version, 5)

fault("log", { outage = true })
kill("e-a-2")
start("e-a-2")
expect("a fresh VM has the list though the log is away", function()
  local dump = get("e-a-2", "/dump")
  return dump.status == 200 and dump.body.ready and
    dump.body.lists.allowances_version >= version
end, 10)
fault("log", {})
expect("edits go on after the outage", function()
  return publish("e-a-2", "allowances", edited(50)).status == 200
end, 20)
lists.expect_in_force("allowances", version + 1, 5)
