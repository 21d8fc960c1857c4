#include "filters/request_service.h"

#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <variant>

#include "base/clock.h"
#include "control/lists_view.h"
#include "control/peer_bus.h"
#include "decode.h"
#include "dispatcher.h"
#include "filters/once_ledger.h"
#include "mailbox.h"
#include "refusal.h"

namespace azurespur::filters {

namespace {

constexpr base::Millis kDispatchWait{5};
constexpr base::Millis kDumpInterval{200};
constexpr size_t kMaxCompletions = 32768;

Refusal UnknownPlanRefusal(std::string reason) {
  Refusal refusal;
  refusal.status = 403;
  refusal.error = "unknown_plan";
  refusal.reason = std::move(reason);
  return refusal;
}

Refusal UnavailableRefusal(std::string error, std::string reason) {
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
      : m_deps(deps),
        m_mailbox(std::make_shared<Mailbox>(deps.options.arrival_queue_size,
                                            kMaxCompletions)),
        m_dispatcher(deps, m_mailbox, m_in_flight) {}

  void Start() {
    m_thread = std::thread([this] { Run(); });
  }

  void Stop() {
    m_stopping.store(true);
    m_mailbox->arrivals.Wake();
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  void Drain() { m_draining.store(true); }
  size_t InFlight() const { return m_in_flight.load(); }

  nlohmann::json Dump() const {
    std::lock_guard<std::mutex> lock(m_dump_mutex);
    nlohmann::json dump = m_dump;
    dump["in_flight"] = InFlight();
    dump["draining"] = m_draining.load();
    dump["keys"] = m_deps.ledger.Size();
    return dump;
  }

  void Handle(http::HttpRequest request,
              std::shared_ptr<http::HttpReply> reply) {
    auto decoded = Decode(std::move(request));
    if (const auto* refusal = std::get_if<Refusal>(&decoded)) {
      reply->Send(MakeRefusal(*refusal, ""));
      return;
    }
    if (const auto* query = std::get_if<FateQuery>(&decoded)) {
      AnswerFateQuery(*query, *reply);
      return;
    }
    Accept(std::get<CallerRequest>(std::move(decoded)), std::move(reply));
  }

 private:
  void Run();
  void AnswerFateQuery(const FateQuery& query, http::HttpReply& reply) const;
  void Accept(CallerRequest request, std::shared_ptr<http::HttpReply> reply);
  bool HolderIsAlive(const OnceClaim& claim) const;

  const RequestServiceDeps m_deps;
  const std::shared_ptr<Mailbox> m_mailbox;
  std::atomic<size_t> m_in_flight{0};
  std::atomic<bool> m_draining{false};
  std::atomic<bool> m_stopping{false};
  std::atomic<uint64_t> m_sequence{1};
  Dispatcher m_dispatcher;  // Used only by m_thread once it runs.
  mutable std::mutex m_dump_mutex;
  nlohmann::json m_dump = nlohmann::json::object();
  std::thread m_thread;
};

void RequestService::Impl::Run() {
  base::MonoTime next_describe{};
  while (!m_stopping.load()) {
    m_dispatcher.RunOnce(kDispatchWait);
    const base::MonoTime now = m_deps.clock.Now();
    if (now >= next_describe) {
      next_describe = now + kDumpInterval;
      nlohmann::json dump = m_dispatcher.Describe();
      std::lock_guard<std::mutex> lock(m_dump_mutex);
      m_dump = std::move(dump);
    }
  }
  m_dispatcher.Shutdown();
}

bool RequestService::Impl::HolderIsAlive(const OnceClaim& claim) const {
  if (claim.vm == m_deps.identity.vm_id) {
    return claim.incarnation == m_deps.identity.incarnation;
  }
  for (const control::Peer& peer : m_deps.peers.Peers()) {
    if (peer.id == claim.vm) {
      return !peer.suspected && peer.incarnation == claim.incarnation;
    }
  }
  return false;
}

void RequestService::Impl::AnswerFateQuery(const FateQuery& query,
                                           http::HttpReply& reply) const {
  Fate fate = Fate::kUnknown;
  if (const auto entry = m_deps.ledger.Find(query.key)) {
    fate = entry->fate.value_or(
        HolderIsAlive(entry->claim) ? Fate::kInFlight : Fate::kMayHaveRun);
  }
  const nlohmann::json body = {{"key", query.key},
                               {"fate", std::string(FateName(fate))}};
  http::HttpResponse response;
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  reply.Send(std::move(response));
}

void RequestService::Impl::Accept(CallerRequest request,
                                  std::shared_ptr<http::HttpReply> reply) {
  if (request.id.empty()) {
    request.id = m_deps.identity.vm_id + "." +
                 std::to_string(m_deps.identity.incarnation) + "." +
                 std::to_string(m_sequence.fetch_add(1));
  }
  const std::string id = request.id;
  if (m_draining.load()) {
    http::HttpResponse response = MakeRefusal(
        UnavailableRefusal("draining", "this VM is shutting down"), id);
    response.headers.push_back({"Connection", "close"});
    reply->Send(std::move(response));
    return;
  }
  const auto lists = m_deps.lists.Current();
  if (lists->plans_version == 0 || lists->allowances_version == 0) {
    reply->Send(MakeRefusal(
        UnavailableRefusal("no_lists", "this VM has not read the lists yet"),
        id));
    return;
  }
  const control::Plan* plan = control::FindPlan(*lists, request.plan);
  if (plan == nullptr) {
    reply->Send(
        MakeRefusal(UnknownPlanRefusal("plan \"" + request.plan +
                                       "\" does not exist in list \"plans\""),
                    id));
    return;
  }
  const control::Allowance* allowance = control::FindAllowance(*lists, *plan);
  if (allowance == nullptr) {
    reply->Send(MakeRefusal(
        UnknownPlanRefusal("allowance \"" + plan->allowance + "\" of plan \"" +
                           plan->id +
                           "\" does not exist in list \"allowances\""),
        id));
    return;
  }
  m_in_flight.fetch_add(1);
  const std::shared_ptr<http::HttpReply> refusal_reply = reply;
  Arrival arrival{std::move(request), std::move(reply), *allowance,
                  m_deps.clock.Now()};
  if (!m_mailbox->arrivals.Push(std::move(arrival))) {
    m_in_flight.fetch_sub(1);
    refusal_reply->Send(MakeRefusal(
        UnavailableRefusal("overloaded", "the arrival ring is full"), id));
  }
}

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
  return m_impl->Dump();
}

}  // namespace azurespur::filters
