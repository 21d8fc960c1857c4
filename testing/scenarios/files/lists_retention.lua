-- Lists outlive the records that made them: the log keeps records for 4 s, the
-- lists are older, and a VM that starts then reads them from a restatement.
-- Seeds: 1

local lists = require("lists")

local retention_ms = 4000
local daemon = { ["log-retention-ms"] = retention_ms }
for name, value in pairs(lists.daemon) do
  daemon[name] = value
end

cell{ entries = 1, workers = 1, executors = 1, daemon = daemon,
      log = { ["retention-ms"] = retention_ms } }
lists.publish_all("e-a-1")

local function in_force(entry)
  local dump = get(entry, "/dump")
  return dump.status == 200 and dump.body.ready and
    dump.body.lists.plans_version == 1 and
    dump.body.lists.allowances_version == 1 and
    get(entry, "/v1/lists/plans").body.complete
end

for round = 1, 2 do
  pass_ms(2 * retention_ms)
  kill("e-b-1")
  start("e-b-1")
  expect("a VM that starts has lists older than the log's records, round " ..
    round, function() return in_force("e-b-1") end, 20)
end

expect("it takes an edit of them", function()
  return publish("e-b-1", "allowances", lists.allowances, 1).status == 200
end, 0)
lists.expect_in_force("allowances", 2, 2)
