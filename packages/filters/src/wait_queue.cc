#include "wait_queue.h"

#include <algorithm>
#include <utility>

namespace azurespur::filters {

namespace {

// Above this number of plans, a plan is removed once its queue is empty.
constexpr size_t kMaxRetainedPlans = 1024;
constexpr double kMinRunMillis = 0.1;

}  // namespace

// A plan that was idle resumes at the current virtual time, so that it earns no
// credit for the idle time.
void FairQueue::Push(WorkItem item) {
  PlanQueue& queue = m_plans[item.plan];
  if (queue.items.empty()) {
    queue.virtual_time = std::max(queue.virtual_time, m_virtual_time);
    m_active.emplace(queue.virtual_time, item.plan);
  }
  const base::MonoTime latest_start = item.latest_start;
  queue.items.emplace(latest_start, std::move(item));
  ++m_size;
}

const WorkItem* FairQueue::Peek() const {
  if (m_active.empty()) {
    return nullptr;
  }
  return &m_plans.at(m_active.begin()->second).items.begin()->second;
}

std::optional<WorkItem> FairQueue::Pop(double expected_run_ms) {
  if (m_active.empty()) {
    return std::nullopt;
  }
  const auto front = m_active.extract(m_active.begin());
  const std::string& plan = front.value().second;
  PlanQueue& queue = m_plans[plan];
  auto node = queue.items.extract(queue.items.begin());
  WorkItem item = std::move(node.mapped());
  --m_size;
  m_virtual_time = queue.virtual_time;
  const auto weight = static_cast<double>(std::max<int64_t>(item.weight, 1));
  queue.virtual_time += std::max(expected_run_ms, kMinRunMillis) / weight;
  if (!queue.items.empty()) {
    m_active.emplace(queue.virtual_time, plan);
  } else if (m_plans.size() > kMaxRetainedPlans) {
    m_plans.erase(plan);
  }
  return item;
}

size_t FairQueue::CountAhead(const std::string& plan) const {
  const auto it = m_plans.find(plan);
  const size_t own = it == m_plans.end() ? 0 : it->second.items.size();
  const size_t plans = m_active.size() + (own == 0 ? 1 : 0);
  return std::min(m_size, (own + 1) * plans - 1);
}

void FairQueue::RemoveExpired(base::MonoTime now,
                              std::vector<WorkItem>& expired) {
  for (auto active = m_active.begin(); active != m_active.end();) {
    auto& items = m_plans[active->second].items;
    while (!items.empty() && items.begin()->first <= now) {
      auto node = items.extract(items.begin());
      expired.push_back(std::move(node.mapped()));
      --m_size;
    }
    active = items.empty() ? m_active.erase(active) : std::next(active);
  }
}

void WaitQueue::Push(WorkItem item) {
  FairQueue& queue = Class(item.request_class);
  queue.Push(std::move(item));
}

FairQueue& WaitQueue::Class(control::RequestClass request_class) {
  return m_classes[static_cast<size_t>(request_class)];
}

const FairQueue& WaitQueue::Class(control::RequestClass request_class) const {
  return m_classes[static_cast<size_t>(request_class)];
}

std::vector<WorkItem> WaitQueue::RemoveExpired(base::MonoTime now) {
  std::vector<WorkItem> expired;
  for (FairQueue& queue : m_classes) {
    queue.RemoveExpired(now, expired);
  }
  return expired;
}

size_t WaitQueue::size() const {
  size_t total = 0;
  for (const FairQueue& queue : m_classes) {
    total += queue.size();
  }
  return total;
}

}  // namespace azurespur::filters
