#include "dispatcher.h"

#include <algorithm>
#include <utility>

#include "base/metrics.h"
#include "control/peer_bus.h"
#include "control/vm_directory.h"

namespace azurespur::filters {

namespace {

constexpr base::Millis kPeriod{5};
constexpr size_t kBatch = 256;  // Arrivals taken at a time.
constexpr size_t kAnswerBytes = 64 << 20;
constexpr double kMillisPerMicro = 0.001;

control::SlotShareOptions ShareOptions(const RequestServiceOptions& options) {
  control::SlotShareOptions share;
  share.hold = options.slot_hold;
  share.max_run = options.max_run;
  share.quiet = options.slot_quiet;
  return share;
}

DispatchOptions CoreOptions(const RequestServiceOptions& options) {
  DispatchOptions core;
  core.max_waiting = options.max_waiting;
  core.max_run = options.max_run;
  return core;
}

// A refusal without a result tells that the executor is done with the request;
// an answer to another request or none tells nothing.
AttemptEnd EndOf(const services::ExecutorAnswer& answer) {
  switch (answer.verdict) {
    case services::ExecutorVerdict::kRan:
      return AttemptEnd::kRan;
    case services::ExecutorVerdict::kNotRun:
      return AttemptEnd::kNotRun;
    case services::ExecutorVerdict::kLeaving:
      return AttemptEnd::kLeaving;
    case services::ExecutorVerdict::kMayHaveRun:
      break;
  }
  constexpr int kStatusOk = 200;
  return answer.status != 0 && answer.status != kStatusOk ? AttemptEnd::kFailed
                                                          : AttemptEnd::kLost;
}

Fate FateOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kRan:
      return Fate::kRan;
    case AttemptEnd::kNotRun:
    case AttemptEnd::kLeaving:
      return Fate::kNotRun;
    case AttemptEnd::kFailed:
    case AttemptEnd::kLost:
      break;
  }
  return Fate::kMayHaveRun;
}

Refusal Failed(Fate fate, std::string reason) {
  Refusal refusal;
  refusal.fate = fate;
  refusal.error = "executor_failed";
  refusal.reason = std::move(reason);
  if (fate == Fate::kMayHaveRun) {
    refusal.status = 502;
  } else {
    refusal.retry_after = base::Millis(1000);
  }
  return refusal;
}

Refusal Overloaded(std::string reason) {
  Refusal refusal;
  refusal.error = "overloaded";
  refusal.reason = std::move(reason);
  refusal.retry_after = base::Millis(1000);
  return refusal;
}

}  // namespace

Dispatcher::Dispatcher(const RequestServiceDeps& deps,
                       std::shared_ptr<Mailbox> mailbox,
                       std::atomic<size_t>& open)
    : m_deps(deps),
      m_mailbox(std::move(mailbox)),
      m_open_count(open),
      m_slots({deps.peers, deps.vms, deps.metrics, deps.identity.vm_id,
               deps.identity.domain, deps.identity.incarnation},
              ShareOptions(deps.options),
              deps.clock.Now(),
              [box = m_mailbox] { box->OnPeerMessage(); }),
      m_core(CoreOptions(deps.options), m_slots.share()),
      m_once({deps.once, deps.ledger, deps.peers, deps.identity, deps.options,
              [box = m_mailbox](OnceEvent event) {
                box->Complete(Completion(std::move(event)));
              }},
             std::make_shared<OnceAnswers>(kAnswerBytes)),
      m_ran(deps.metrics.GetCounter(R"(azurespur_requests_total{fate="ran"})")),
      m_preview_wait(deps.metrics.GetDistribution(
          R"(azurespur_request_wait_ms{class="preview"})")),
      m_other_wait(deps.metrics.GetDistribution(
          R"(azurespur_request_wait_ms{class="other"})")) {}

void Dispatcher::Step(base::Millis wait) {
  std::optional<Arrival> arrival = m_mailbox->arrivals.PopWait(wait);
  base::MonoTime now = m_deps.clock.Now();
  while (auto completion = m_mailbox->completions.Pop()) {
    if (auto* done = std::get_if<AttemptDone>(&*completion)) {
      OnAttemptDone(std::move(*done), now);
    } else {
      m_once.OnEvent(std::get<OnceEvent>(*completion), now);
    }
  }
  for (size_t i = 0; arrival && i < kBatch; ++i) {
    Take(std::move(*arrival), now);
    arrival = m_mailbox->arrivals.Pop();
  }
  if (arrival) {
    Take(std::move(*arrival), now);
  }
  const bool mail = m_mailbox->peer_message.exchange(false);
  if (mail || now >= m_next_periodic) {
    Periodic(now);
  }
  TakeOnceDecisions(now);
  SendReady();
}

void Dispatcher::Periodic(base::MonoTime now) {
  m_next_periodic = now + kPeriod;
  UpdateExecutors();
  m_slots.Tick(now);
  m_once.Tick(now);
  m_live_vms = LiveVms();
  ReportChanges(now);
}

size_t Dispatcher::LiveVms() const {
  size_t live = 1;
  for (const control::Peer& peer : m_deps.peers.Peers()) {
    const bool counts = peer.domain == m_deps.identity.domain &&
                        !peer.suspected && !peer.draining;
    live += counts ? 1 : 0;
  }
  return live;
}

void Dispatcher::UpdateExecutors() {
  auto page = m_deps.vms.Current();
  if (page == m_vms) {
    return;
  }
  m_vms = std::move(page);
  std::vector<ExecutorInfo> executors;
  for (const services::Vm& vm : m_vms->vms) {
    if (vm.kind == services::VmKind::kExecutor &&
        vm.domain == m_deps.identity.domain) {
      executors.push_back({vm.id, vm.address, vm.slots, vm.leaving});
    }
  }
  m_core.SetExecutors(executors);
}

void Dispatcher::Take(Arrival arrival, base::MonoTime now) {
  const uint64_t handle = m_next_handle++;
  Open& open = m_open[handle];
  open.request = std::move(arrival.request);
  open.reply = std::move(arrival.reply);
  m_body_bytes += open.request.body.size();
  const control::Allowance& allowance = arrival.allowance;
  const base::Millis most(allowance.deadline_ms);
  open.item.handle = handle;
  open.item.plan = open.request.plan;
  open.item.allowance = allowance.id;
  open.item.request_class = allowance.request_class;
  open.item.weight = allowance.weight;
  open.item.idempotent = open.request.idempotent;
  open.item.arrived = arrival.arrived;
  open.item.deadline =
      arrival.arrived + std::min(open.request.deadline.value_or(most), most);
  open.max_waiting =
      static_cast<size_t>(std::max<int64_t>(allowance.max_waiting, 0)) /
      m_live_vms;
  if (m_body_bytes > m_deps.options.max_waiting_bytes) {
    Refuse(handle,
           Overloaded("the bodies of waiting requests fill the memory "
                      "set aside for them"),
           now);
    return;
  }
  if (const auto refusal = m_limits.Take(allowance, m_live_vms, now)) {
    Refuse(handle, *refusal, now);
    return;
  }
  if (open.request.idempotent) {
    Admit(handle, now);
    return;
  }
  m_once.Begin({handle, open.request.key, open.request.plan,
                BodyDigest(open.request.body), open.item.deadline},
               now);
}

void Dispatcher::Admit(uint64_t handle, base::MonoTime now) {
  Open& open = m_open.at(handle);
  const auto refusal =
      m_core.Admit(open.item, std::max<size_t>(open.max_waiting, 1), now);
  if (refusal) {
    Refuse(handle, *refusal, now);
  }
}

void Dispatcher::TakeOnceDecisions(base::MonoTime now) {
  for (OnceDecision& decision : m_once.TakeDecisions()) {
    OnDecision(std::move(decision), now);
  }
}

void Dispatcher::OnDecision(OnceDecision decision, base::MonoTime now) {
  if (const auto* proceed = std::get_if<OnceProceed>(&decision)) {
    m_open.at(proceed->handle).claim_id = proceed->claim_id;
    Admit(proceed->handle, now);
    return;
  }
  if (const auto* refused = std::get_if<OnceRefused>(&decision)) {
    Refuse(refused->handle, refused->refusal, now);
    return;
  }
  auto& repeat = std::get<OnceRepeat>(decision);
  const auto node = m_open.extract(repeat.handle);
  Open& open = node.mapped();
  m_body_bytes -= open.request.body.size();
  open.reply->Send(MakeAnswer(std::move(repeat.answer.body),
                              repeat.answer.executor, open.request.id));
  m_open_count.fetch_sub(1);
}

// Ends a request that an executor does not answer. Its claim, if any, ends
// here only if nothing is under way.
void Dispatcher::Refuse(uint64_t handle,
                        const Refusal& refusal,
                        base::MonoTime now) {
  const auto node = m_open.extract(handle);
  Open& open = node.mapped();
  m_body_bytes -= open.request.body.size();
  if (!open.claim_id.empty() && refusal.fate == Fate::kNotRun) {
    m_once.End(open.request.key, open.claim_id, {Fate::kNotRun, {}, {}}, now);
  }
  open.reply->Send(MakeRefusal(refusal, open.request.id));
  m_deps.metrics
      .GetCounter("azurespur_requests_total{fate=\"" +
                  std::string(FateName(refusal.fate)) + "\",error=\"" +
                  refusal.error + "\"}")
      .Add(1);
  m_open_count.fetch_sub(1);
}

void Dispatcher::CloseExpired(base::MonoTime now) {
  for (const ClosedRequest& closed : m_core.TakeExpired(now)) {
    Refuse(closed.handle, closed.refusal, now);
  }
}

// The clock is read for each request: this thread may have been paused, and a
// request must not be sent after its deadline or on a loan that lapsed.
void Dispatcher::SendReady() {
  for (;;) {
    const base::MonoTime now = m_deps.clock.Now();
    CloseExpired(now);
    std::optional<Attempt> attempt = m_core.Next(now);
    if (!attempt) {
      attempt = m_core.NextHedge(now);
    }
    if (!attempt) {
      return;
    }
    Send(*attempt, now);
  }
}

void Dispatcher::Send(const Attempt& attempt, base::MonoTime now) {
  Open& open = m_open.at(attempt.handle);
  if (open.reply->CallerGone()) {
    m_core.Withdraw(attempt.id);
    Refuse(attempt.handle, Failed(Fate::kNotRun, "the caller is gone"), now);
    return;
  }
  const double waited_ms =
      static_cast<double>((now - open.item.arrived).count()) * kMillisPerMicro;
  const bool preview = attempt.request_class == control::RequestClass::kPreview;
  (preview ? m_preview_wait : m_other_wait).Observe(waited_ms);
  m_sent[attempt.id] = {attempt.handle, attempt.slot.executor, open.request.key,
                        open.claim_id};
  services::ExecutorCall call;
  call.request_id = open.request.id;
  call.body = open.request.body;
  call.timeout = m_deps.options.max_run;
  call.send_by =
      std::min(open.item.deadline, m_slots.share().SendBy(attempt.slot));
  call.idempotent = open.item.idempotent;
  const bool queued = m_deps.executors.Run(
      m_core.AddressOf(attempt.slot.executor), std::move(call),
      [box = m_mailbox, id = attempt.id](services::ExecutorAnswer answer) {
        box->Complete(Completion(AttemptDone{id, std::move(answer)}));
      });
  if (!queued) {
    services::ExecutorAnswer answer;
    answer.verdict = services::ExecutorVerdict::kNotRun;
    answer.reason = "the HTTP client's queue is full";
    OnAttemptDone({attempt.id, std::move(answer)}, now);
  }
}

void Dispatcher::OnAttemptDone(AttemptDone done, base::MonoTime now) {
  const auto node = m_sent.extract(done.attempt);
  const Sent& sent = node.mapped();
  const AttemptEnd end = EndOf(done.answer);
  const std::string executor = m_core.IdOf(sent.executor);
  const RequestStep step = m_core.Ended(done.attempt, end, now);
  if (step == RequestStep::kGoesOn) {
    return;
  }
  if (!sent.claim_id.empty()) {
    OnceAnswer answer{FateOf(end), executor, {}};
    if (end == AttemptEnd::kRan) {
      answer.body = done.answer.body;
    }
    m_once.End(sent.key, sent.claim_id, std::move(answer), now);
  }
  if (step == RequestStep::kIgnored) {
    return;
  }
  if (step == RequestStep::kRefuse) {
    Refuse(sent.handle, Failed(m_core.fate_of_last(), done.answer.reason), now);
    return;
  }
  const auto open_node = m_open.extract(sent.handle);
  Open& open = open_node.mapped();
  m_body_bytes -= open.request.body.size();
  open.reply->Send(
      MakeAnswer(std::move(done.answer.body), executor, open.request.id));
  m_ran.Add(1);
  m_open_count.fetch_sub(1);
}

void Dispatcher::CloseAll() {
  const base::MonoTime now = m_deps.clock.Now();
  while (auto arrival = m_mailbox->arrivals.Pop()) {
    Take(std::move(*arrival), now);
  }
  TakeOnceDecisions(now);
  for (const ClosedRequest& closed : m_core.TakeWaiting()) {
    Refuse(closed.handle, closed.refusal, now);
  }
  std::unordered_map<uint64_t, bool> sent;
  for (const auto& [id, attempt] : m_sent) {
    sent[attempt.handle] = true;
  }
  while (!m_open.empty()) {
    const uint64_t handle = m_open.begin()->first;
    const Fate fate = sent.contains(handle) ? Fate::kMayHaveRun : Fate::kNotRun;
    Refuse(handle, Failed(fate, "this VM stopped"), now);
  }
  m_slots.Retire(now);
}

}  // namespace azurespur::filters
