#include "filters/request_service.h"

#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>
#include <variant>

#include "base/clock.h"
#include "base/metrics.h"
#include "base/ring.h"
#include "control/lists_view.h"
#include "control/vm_directory.h"
#include "decode.h"
#include "filters/once_ledger.h"
#include "platform/executor_client.h"
#include "refusal.h"

namespace azurespur::filters {

namespace {

constexpr base::Millis kDispatchTick{20};

struct Arrival {
  CallerRequest request;
  std::shared_ptr<http::HttpReply> reply;
};

Refusal Unavailable(std::string error, std::string reason) {
  Refusal refusal;
  refusal.error = std::move(error);
  refusal.reason = std::move(reason);
  refusal.retry_after = base::Millis(1000);
  return refusal;
}

}  // namespace

class RequestService::Impl {
 public:
  explicit Impl(const RequestServiceDeps& deps)
      : m_deps(deps), m_arrivals(deps.options.arrival_ring) {}

  void Start() {
    m_thread = std::thread([this] { Run(); });
  }
  void Stop() {
    m_stopping.store(true);
    m_arrivals.Wake();
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }
  void Drain() { m_draining.store(true); }
  size_t InFlight() const { return m_in_flight.load(); }

  void Handle(http::HttpRequest request,
              std::shared_ptr<http::HttpReply> reply) {
    auto decoded = Decode(std::move(request));
    if (const auto* refusal = std::get_if<Refusal>(&decoded)) {
      reply->Send(MakeRefusal(*refusal, ""));
      return;
    }
    if (const auto* query = std::get_if<FateQuery>(&decoded)) {
      AnswerFate(*query, *reply);
      return;
    }
    Take(std::get<CallerRequest>(std::move(decoded)), std::move(reply));
  }

 private:
  void AnswerFate(const FateQuery& query, http::HttpReply& reply) {
    const auto entry = m_deps.ledger.Find(query.key);
    Fate fate = Fate::kUnknown;
    if (entry) {
      fate = entry->fate.value_or(Fate::kMayHaveRun);
    }
    http::HttpResponse response;
    const nlohmann::json body = {{"key", query.key},
                                 {"fate", std::string(FateName(fate))}};
    response.body =
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    reply.Send(std::move(response));
  }

  void Take(CallerRequest request, std::shared_ptr<http::HttpReply> reply) {
    if (request.id.empty()) {
      request.id = m_deps.identity.vm_id + "." +
                   std::to_string(m_deps.identity.incarnation) + "." +
                   std::to_string(m_sequence.fetch_add(1));
    }
    const std::string id = request.id;
    if (m_draining.load()) {
      http::HttpResponse response =
          MakeRefusal(Unavailable("draining", "this VM is shutting down"), id);
      response.headers.push_back({"Connection", "close"});
      reply->Send(std::move(response));
      return;
    }
    if (control::FindPlan(*m_deps.lists.Current(), request.plan) == nullptr) {
      Refusal refusal;
      refusal.status = 403;
      refusal.error = "unknown_plan";
      refusal.reason =
          "plan \"" + request.plan + "\" does not exist in list \"plans\"";
      reply->Send(MakeRefusal(refusal, id));
      return;
    }
    m_in_flight.fetch_add(1);
    Arrival arrival{std::move(request), std::move(reply)};
    if (!m_arrivals.Push(std::move(arrival))) {
      m_in_flight.fetch_sub(1);
      arrival.reply->Send(MakeRefusal(
          Unavailable("overloaded", "the arrival ring is full"), id));
    }
  }

  void Run() {
    while (!m_stopping.load()) {
      if (auto arrival = m_arrivals.PopWait(kDispatchTick)) {
        Dispatch(std::move(*arrival));
      }
    }
    while (auto arrival = m_arrivals.Pop()) {
      Finish(*arrival->reply,
             MakeRefusal(Unavailable("draining", "this VM is shutting down"),
                         arrival->request.id));
    }
  }

  void Dispatch(Arrival arrival) {
    const platform::Vm* executor = PickExecutor();
    if (executor == nullptr) {
      Finish(*arrival.reply,
             MakeRefusal(
                 Unavailable("no_executor", "no live executor in this domain"),
                 arrival.request.id));
      return;
    }
    platform::ExecutorCall call;
    call.request_id = arrival.request.id;
    call.body = std::move(arrival.request.body);
    call.timeout = m_deps.options.max_run;
    const std::string id = call.request_id;
    const auto reply = arrival.reply;
    const bool sent = m_deps.executors.Run(
        executor->address, std::move(call),
        [this, id, reply, vm = executor->id](platform::ExecutorAnswer answer) {
          Answer(*reply, id, vm, std::move(answer));
        });
    if (!sent) {
      Finish(*reply,
             MakeRefusal(
                 Unavailable("overloaded", "the client's queue is full"), id));
    }
  }

  const platform::Vm* PickExecutor() {
    m_vms = m_deps.vms.Current();
    std::vector<const platform::Vm*> live;
    for (const platform::Vm& vm : m_vms->vms) {
      if (vm.kind == platform::VmKind::kExecutor && !vm.leaving &&
          vm.domain == m_deps.identity.domain) {
        live.push_back(&vm);
      }
    }
    return live.empty() ? nullptr : live[m_next++ % live.size()];
  }

  void Answer(http::HttpReply& reply,
              const std::string& id,
              const std::string& vm,
              platform::ExecutorAnswer answer) {
    if (answer.verdict == platform::ExecutorVerdict::kRan) {
      Finish(reply, MakeAnswer(std::move(answer.body), vm, id));
      return;
    }
    Refusal refusal = Unavailable("executor_failed", answer.reason);
    if (answer.verdict == platform::ExecutorVerdict::kMayHaveRun) {
      refusal.status = 502;
      refusal.fate = Fate::kMayHaveRun;
      refusal.retry_after = base::Millis(0);
    }
    Finish(reply, MakeRefusal(refusal, id));
  }

  void Finish(http::HttpReply& reply, http::HttpResponse response) {
    reply.Send(std::move(response));
    m_in_flight.fetch_sub(1);
  }

  const RequestServiceDeps m_deps;
  base::Ring<Arrival> m_arrivals;
  std::atomic<bool> m_draining{false};
  std::atomic<bool> m_stopping{false};
  std::atomic<size_t> m_in_flight{0};
  std::atomic<uint64_t> m_sequence{1};
  std::shared_ptr<const platform::VmListPage> m_vms;
  size_t m_next = 0;
  std::thread m_thread;
};

RequestService::RequestService(const RequestServiceDeps& deps)
    : m_impl(std::make_unique<Impl>(deps)) {}
RequestService::~RequestService() {
  Stop();
}
void RequestService::Start() {
  m_impl->Start();
}
void RequestService::Handle(http::HttpRequest request,
                            std::shared_ptr<http::HttpReply> reply) {
  m_impl->Handle(std::move(request), std::move(reply));
}
void RequestService::Drain() {
  m_impl->Drain();
}
size_t RequestService::InFlight() const {
  return m_impl->InFlight();
}
void RequestService::Stop() {
  m_impl->Stop();
}
nlohmann::json RequestService::Dump() const {
  return {{"in_flight", m_impl->InFlight()}};
}

}  // namespace azurespur::filters
