-- Lists the test cell's customers and what they may use.

local lists = {}

-- Settings of the daemons, short so that a scenario takes seconds.
lists.daemon = {
  ["max-request-time-ms"] = 2000, ["worker-lease-ms"] = 1200,
  ["worker-renew-interval-ms"] = 200, ["worker-report-interval-ms"] = 200,
  ["vm-list-interval-ms"] = 200, ["drain-timeout-ms"] = 10000,
}

lists.allowances = {
  { id = "preview", request_class = "preview", requests_per_s = 2000,
    burst = 500, max_waiting = 1000, weight = 4, deadline_ms = 10000 },
  { id = "bulk", request_class = "bulk", requests_per_s = 1000, burst = 500,
    max_waiting = 2000, weight = 1, deadline_ms = 20000 },
  { id = "nightly", requests_per_s = 100, burst = 100, max_waiting = 100,
    cpu_millis = 100000000, memory_mb = 100000000, accelerators = 1000,
    max_tasks = 100000 },
}

lists.plans = {
  { id = "kapwa-preview", customer = "kapwa", allowance = "preview" },
  { id = "kapwa-bulk", customer = "kapwa", allowance = "bulk" },
  { id = "kapwa-nightly", customer = "kapwa", allowance = "nightly" },
}

-- Publishes both lists through `entry` and waits until all entries have them.
function lists.publish_all(entry)
  expect("entry " .. entry .. " is ready", function()
    return get(entry, "/readyz").status == 200
  end, 20)
  local allowances = publish(entry, "allowances", lists.allowances)
  expect("allowances accepted", function()
    return allowances.status == 200
  end, 0)
  local plans = publish(entry, "plans", lists.plans)
  expect("plans accepted", function() return plans.status == 200 end, 0)
  lists.expect_in_force("plans", 1)
  for _, name in ipairs(entries()) do
    lists.expect_serving(name)
  end
end

-- Waits until `entry` runs requests; a VM that just started has no slots.
function lists.expect_serving(entry, seconds)
  expect("entry " .. entry .. " serves", function()
    return request(entry, { plan = "kapwa-preview", service_ms = 1 }).fate ==
      "ran"
  end, seconds or 20)
end

-- Waits until all running entries have `version` of `list` or a later one.
function lists.expect_in_force(list, version, seconds)
  expect(list .. " version " .. version .. " in force everywhere", function()
    for _, name in ipairs(entries()) do
      local dump = get(name, "/dump")
      if dump.status == 200 and
         dump.body.lists[list .. "_version"] < version then
        return false
      end
    end
    return true
  end, seconds or 2)
end

return lists
