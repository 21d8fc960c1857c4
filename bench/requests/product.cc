#include "requests/product.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "control/slot_share.h"
#include "dispatch_core.h"
#include "wire/codec.h"

namespace azurespur::bench {

namespace {

constexpr base::Millis kTail{20000};
constexpr base::Millis kTick{5};
constexpr base::Micros kOneWay{250};  // Between two VMs of a domain.
constexpr size_t kMaxWaiting = 20000;

std::string VmName(int vm) {
  return "entry-" + std::to_string(vm);
}

// One entry VM.
struct Node {
  std::unique_ptr<control::SlotShare> share;
  std::unique_ptr<filters::DispatchCore> core;
};

class Product {
 public:
  Product(const WorkloadOptions& options,
          const std::vector<SimRequest>& requests)
      : m_options(options),
        m_requests(requests),
        m_outcomes(requests.size()),
        m_executors(m_events, options.executors, options.slots) {
    std::vector<std::string> ids;
    ids.reserve(static_cast<size_t>(options.vms));
    for (int vm = 0; vm < options.vms; ++vm) {
      ids.push_back(VmName(vm));
    }
    for (int vm = 0; vm < options.vms; ++vm) {
      AddNode(vm, ids);
    }
  }

  SimReport Run() {
    const base::MonoTime end = m_requests.back().arrival + kTail;
    for (size_t i = 0; i < m_requests.size(); ++i) {
      m_events.At(m_requests[i].arrival, [this, i] { Arrive(i); });
    }
    for (int vm = 0; vm < m_options.vms; ++vm) {
      m_events.At(m_requests.front().arrival,
                  [this, vm, end] { Tick(vm, end); });
    }
    m_events.RunUntil(end);
    SimReport report = Summarize(m_options, m_requests, m_outcomes);
    report.excess = m_executors.excess();
    const double seconds =
        static_cast<double>((end - m_requests.front().arrival).count()) / 1e6;
    report.messages_per_s = static_cast<double>(m_messages) / seconds;
    report.bytes_per_s = static_cast<double>(m_bytes) / seconds / m_options.vms;
    return report;
  }

 private:
  void AddNode(int vm, const std::vector<std::string>& ids) {
    control::SlotShareOptions share;
    share.quiet = base::Millis(1);
    auto node = std::make_unique<Node>();
    node->share = std::make_unique<control::SlotShare>(
        share, VmName(vm), 1, base::MonoTime(base::Micros(1)));
    node->core = std::make_unique<filters::DispatchCore>(
        filters::DispatchOptions{}, *node->share);
    std::vector<filters::ExecutorInfo> executors;
    executors.reserve(static_cast<size_t>(m_options.executors));
    for (int i = 0; i < m_options.executors; ++i) {
      executors.push_back(
          {"executor-" + std::to_string(i), "", m_options.slots, false});
    }
    node->core->SetExecutors(executors);
    node->share->SetMembers(1, ids, base::MonoTime(base::Micros(1)));
    m_nodes.push_back(std::move(node));
  }

  void Arrive(size_t i) {
    const SimRequest& request = m_requests[i];
    filters::WorkItem item;
    item.handle = i;
    item.plan = request.plan;
    item.allowance = request.plan;
    item.request_class = request.request_class;
    item.arrived = request.arrival;
    item.deadline = request.deadline;
    Node& node = *m_nodes[static_cast<size_t>(request.vm)];
    (void)node.core->Admit(std::move(item), kMaxWaiting, m_events.now());
    Pump(request.vm);
  }

  void Pump(int vm) {
    Node& node = *m_nodes[static_cast<size_t>(vm)];
    const base::MonoTime now = m_events.now();
    (void)node.core->TakeExpired(now);
    for (;;) {
      auto attempt = node.core->Next(now);
      if (!attempt) {
        attempt = node.core->NextHedge(now);
      }
      if (!attempt) {
        return;
      }
      const size_t i = attempt->handle;
      m_executors.Run(attempt->slot.executor, RunTime(*attempt), m_outcomes[i],
                      [this, vm, id = attempt->id] {
                        Node& own = *m_nodes[static_cast<size_t>(vm)];
                        own.core->OnAttemptEnded(
                            id, filters::AttemptOutcome::kRan, m_events.now());
                        Pump(vm);
                      });
    }
  }

  // A hedge draws its run time anew: being a straggler is a matter of the run.
  base::Micros RunTime(const filters::Attempt& attempt) const {
    const size_t i = attempt.handle;
    return attempt.hedge ? m_requests[(i * 7 + 1) % m_requests.size()].run
                         : m_requests[i].run;
  }

  void Tick(int vm, base::MonoTime end) {
    Node& node = *m_nodes[static_cast<size_t>(vm)];
    for (auto& [to, message] : node.share->Tick(m_events.now())) {
      Send(vm, to, std::move(message));
    }
    Pump(vm);
    if (m_events.now() < end) {
      m_events.At(m_events.now() + kTick, [this, vm, end] { Tick(vm, end); });
    }
  }

  void Send(int from, const std::string& to, control::SlotMessage message) {
    ++m_messages;
    m_bytes += wire::Encode(message).size();
    const int vm = std::stoi(to.substr(to.find('-') + 1));
    m_events.At(m_events.now() + kOneWay,
                [this, from, vm, message = std::move(message)] {
                  Receive(from, vm, message);
                });
  }

  void Receive(int from, int vm, const control::SlotMessage& message) {
    Node& node = *m_nodes[static_cast<size_t>(vm)];
    auto reply =
        node.share->OnMessage(VmName(from), 1, message, m_events.now());
    if (reply) {
      Send(vm, VmName(from), std::move(*reply));
    }
    // The product's thread plans loans when a message wakes it, too.
    for (auto& [to, planned] : node.share->Tick(m_events.now())) {
      Send(vm, to, std::move(planned));
    }
    Pump(vm);
  }

  const WorkloadOptions& m_options;
  const std::vector<SimRequest>& m_requests;
  EventQueue m_events;
  std::vector<SimOutcome> m_outcomes;
  SimExecutors m_executors;
  std::vector<std::unique_ptr<Node>> m_nodes;
  size_t m_messages = 0;
  size_t m_bytes = 0;
};

}  // namespace

SimReport RunProduct(const WorkloadOptions& options,
                     const std::vector<SimRequest>& requests) {
  return Product(options, requests).Run();
}

}  // namespace azurespur::bench
