-- Under "approve" an eviction for urgent work is proposed and waits; it is done
-- once an edit of the list approves it, and then the urgent task starts.
-- Seeds: 1

local lists = require("lists")

cell{ domains = { "a" }, entries = 2, workers = 1, executors = 1,
      daemon = lists.daemon,
      worker = { ["cpu-millis"] = 8000, ["memory-mb"] = 16000 } }
lists.publish_all("e-a-1")

local wide = { cpu_millis = 100000, memory_mb = 1000000, max_tasks = 1000 }
local function allowance(id, more)
  local row = { id = id, requests_per_s = 10, burst = 10, max_waiting = 10 }
  for _, part in ipairs({ wide, more }) do
    for name, value in pairs(part) do
      row[name] = value
    end
  end
  return row
end

local allowances = { table.unpack(lists.allowances) }
allowances[#allowances + 1] =
  allowance("careful", { preempt = true, actions = "approve" })
allowances[#allowances + 1] = allowance("rush", { urgent = true })
local plans = { table.unpack(lists.plans) }
plans[#plans + 1] = { id = "slow", customer = "c", allowance = "careful" }
plans[#plans + 1] = { id = "fast", customer = "c", allowance = "rush" }
expect("allowances accepted", function()
  return publish("e-a-1", "allowances", allowances).status == 200
end, 0)
expect("plans accepted", function()
  return publish("e-a-1", "plans", plans).status == 200
end, 0)
lists.expect_in_force("plans", 2)

local victim = submit("e-a-1", { plan = "slow", cpu_millis = 6000,
                                 memory_mb = 100, payload = "run_ms=9000" })
expect("the batch task runs", function()
  return fate("e-a-1", victim.id).fate == "running"
end, 20)
local urgent = submit("e-a-2", { plan = "fast", cpu_millis = 4000,
                                 memory_mb = 100, urgent = true,
                                 payload = "run_ms=200" })

local proposal
expect("the eviction is proposed on every VM", function()
  for _, name in ipairs(entries()) do
    local told = get(name, "/v1/proposals").body.proposals
    if #told ~= 1 or told[1].subject ~= victim.id then
      return false
    end
    proposal = told[1]
  end
  return true
end, 10)
expect("nothing is done before the approval", function()
  return fate("e-a-1", victim.id).fate == "running" and
         fate("e-a-1", urgent.id).fate == "accepted"
end, 0)

allowances[#allowances - 1].approved = { proposal.id }
expect("the approval is accepted", function()
  return publish("e-a-2", "allowances", allowances).status == 200
end, 0)
expect("the urgent task finishes", function()
  return fate("e-a-1", urgent.id).fate == "finished"
end, 3)
expect("the evicted task finishes later", function()
  return fate("e-a-1", victim.id).fate == "finished"
end, 30)
