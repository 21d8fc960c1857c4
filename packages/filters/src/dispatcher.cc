#include "dispatcher.h"

#include <algorithm>
#include <utility>

#include "base/metrics.h"
#include "control/peer_bus.h"
#include "control/vm_directory.h"

namespace azurespur::filters {

namespace {

constexpr base::Millis kPeriodicInterval{5};
constexpr size_t kArrivalBatchSize = 256;  // Arrivals per iteration.
constexpr size_t kMaxKeptAnswerBytes = 64 << 20;
constexpr double kMillisPerMicro = 0.001;

control::SlotShareOptions ShareOptions(const RequestServiceOptions& options) {
  control::SlotShareOptions share;
  share.hold = options.slot_loan_duration;
  share.max_run = options.max_run;
  share.quiet = options.slot_startup_delay;
  return share;
}

DispatchOptions CoreOptions(const RequestServiceOptions& options) {
  DispatchOptions core;
  core.max_waiting = options.max_waiting;
  core.max_run = options.max_run;
  return core;
}

// An HTTP error without a result means that the executor no longer runs the
// request. With no answer, or the answer to another request, it may still run.
AttemptOutcome OutcomeOf(const services::ExecutorAnswer& answer) {
  switch (answer.verdict) {
    case services::ExecutorVerdict::kRan:
      return AttemptOutcome::kRan;
    case services::ExecutorVerdict::kNotRun:
      return AttemptOutcome::kNotRun;
    case services::ExecutorVerdict::kLeaving:
      return AttemptOutcome::kLeaving;
    case services::ExecutorVerdict::kMayHaveRun:
      break;
  }
  constexpr int kStatusOk = 200;
  return answer.status != 0 && answer.status != kStatusOk
             ? AttemptOutcome::kFailed
             : AttemptOutcome::kLost;
}

Fate FateOf(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kRan:
      return Fate::kRan;
    case AttemptOutcome::kNotRun:
    case AttemptOutcome::kLeaving:
      return Fate::kNotRun;
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kLost:
      break;
  }
  return Fate::kMayHaveRun;
}

Refusal ExecutorFailedRefusal(Fate fate, std::string reason) {
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

Refusal OverloadedRefusal(std::string reason) {
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
      m_once(
          {deps.once_log, deps.ledger, deps.peers, deps.identity, deps.options,
           [box = m_mailbox](OnceEvent event) {
             box->PostCompletion(Completion(std::move(event)));
           }},
          std::make_shared<OnceAnswers>(kMaxKeptAnswerBytes)),
      m_ran(deps.metrics.GetCounter(R"(azurespur_requests_total{fate="ran"})")),
      m_preview_wait(deps.metrics.GetDistribution(
          R"(azurespur_request_wait_ms{class="preview"})")),
      m_other_wait(deps.metrics.GetDistribution(
          R"(azurespur_request_wait_ms{class="other"})")) {}

void Dispatcher::RunOnce(base::Millis wait) {
  std::optional<Arrival> arrival = m_mailbox->arrivals.PopWait(wait);
  base::MonoTime now = m_deps.clock.Now();
  while (auto completion = m_mailbox->completions.Pop()) {
    if (auto* done = std::get_if<AttemptDone>(&*completion)) {
      OnAttemptDone(std::move(*done), now);
    } else {
      m_once.OnEvent(std::get<OnceEvent>(*completion), now);
    }
  }
  for (size_t i = 0; arrival && i < kArrivalBatchSize; ++i) {
    AcceptArrival(std::move(*arrival), now);
    arrival = m_mailbox->arrivals.Pop();
  }
  if (arrival) {
    AcceptArrival(std::move(*arrival), now);
  }
  const bool peer_message = m_mailbox->peer_message_received.exchange(false);
  if (peer_message || now >= m_next_periodic) {
    RunPeriodicWork(now);
  }
  TakeOnceDecisions(now);
  SendReady();
}

void Dispatcher::RunPeriodicWork(base::MonoTime now) {
  m_next_periodic = now + kPeriodicInterval;
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

void Dispatcher::AcceptArrival(Arrival arrival, base::MonoTime now) {
  const uint64_t handle = m_next_handle++;
  OpenRequest& open = m_open_requests[handle];
  open.request = std::move(arrival.request);
  open.reply = std::move(arrival.reply);
  m_body_bytes += open.request.body.size();
  const control::Allowance& allowance = arrival.allowance;
  const base::Millis max_time(allowance.deadline_ms);
  open.item.handle = handle;
  open.item.plan = open.request.plan;
  open.item.allowance = allowance.id;
  open.item.request_class = allowance.request_class;
  open.item.weight = allowance.weight;
  open.item.idempotent = open.request.idempotent;
  open.item.arrived = arrival.arrived;
  open.item.deadline =
      arrival.arrived +
      std::min(open.request.deadline.value_or(max_time), max_time);
  open.max_waiting =
      static_cast<size_t>(std::max<int64_t>(allowance.max_waiting, 0)) /
      m_live_vms;
  if (m_body_bytes > m_deps.options.max_waiting_bytes) {
    Refuse(handle,
           OverloadedRefusal("the bodies of waiting requests fill the memory "
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
  OpenRequest& open = m_open_requests.at(handle);
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
    m_open_requests.at(proceed->handle).claim_id = proceed->claim_id;
    Admit(proceed->handle, now);
    return;
  }
  if (const auto* refused = std::get_if<OnceRefused>(&decision)) {
    Refuse(refused->handle, refused->refusal, now);
    return;
  }
  auto& repeat = std::get<OnceRepeat>(decision);
  const auto node = m_open_requests.extract(repeat.handle);
  OpenRequest& open = node.mapped();
  m_body_bytes -= open.request.body.size();
  open.reply->Send(MakeAnswer(std::move(repeat.answer.body),
                              repeat.answer.executor, open.request.id));
  m_open_count.fetch_sub(1);
}

// Closes a request without an executor's answer. Its claim, if any, is ended
// here only if the request was not run. Otherwise the claim ends when the
// active attempt does.
void Dispatcher::Refuse(uint64_t handle,
                        const Refusal& refusal,
                        base::MonoTime now) {
  const auto node = m_open_requests.extract(handle);
  OpenRequest& open = node.mapped();
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

// Reads the clock for each request, because this thread may have been suspended
// in between and a request must not be sent after its deadline or on an expired
// slot loan.
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
  OpenRequest& open = m_open_requests.at(attempt.handle);
  if (open.reply->CallerGone()) {
    m_core.CancelUnsent(attempt.id);
    Refuse(attempt.handle,
           ExecutorFailedRefusal(Fate::kNotRun, "the caller is gone"), now);
    return;
  }
  const double waited_ms =
      static_cast<double>((now - open.item.arrived).count()) * kMillisPerMicro;
  const bool preview = attempt.request_class == control::RequestClass::kPreview;
  (preview ? m_preview_wait : m_other_wait).Observe(waited_ms);
  m_sent_attempts[attempt.id] = {attempt.handle, attempt.slot.executor,
                                 open.request.key, open.claim_id};
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
        box->PostCompletion(Completion(AttemptDone{id, std::move(answer)}));
      });
  if (!queued) {
    services::ExecutorAnswer answer;
    answer.verdict = services::ExecutorVerdict::kNotRun;
    answer.reason = "the HTTP client's queue is full";
    OnAttemptDone({attempt.id, std::move(answer)}, now);
  }
}

void Dispatcher::OnAttemptDone(AttemptDone done, base::MonoTime now) {
  const auto node = m_sent_attempts.extract(done.attempt);
  const SentAttempt& sent = node.mapped();
  const AttemptOutcome outcome = OutcomeOf(done.answer);
  const std::string executor = m_core.IdOf(sent.executor);
  const RequestAction action =
      m_core.OnAttemptEnded(done.attempt, outcome, now);
  if (action == RequestAction::kWait) {
    return;
  }
  if (!sent.claim_id.empty()) {
    OnceAnswer answer{FateOf(outcome), executor, {}};
    if (outcome == AttemptOutcome::kRan) {
      answer.body = done.answer.body;
    }
    m_once.End(sent.key, sent.claim_id, std::move(answer), now);
  }
  if (action == RequestAction::kNone) {
    return;
  }
  if (action == RequestAction::kRefuse) {
    Refuse(sent.handle,
           ExecutorFailedRefusal(m_core.refusal_fate(), done.answer.reason),
           now);
    return;
  }
  const auto open_node = m_open_requests.extract(sent.handle);
  OpenRequest& open = open_node.mapped();
  m_body_bytes -= open.request.body.size();
  open.reply->Send(
      MakeAnswer(std::move(done.answer.body), executor, open.request.id));
  m_ran.Add(1);
  m_open_count.fetch_sub(1);
}

void Dispatcher::Shutdown() {
  const base::MonoTime now = m_deps.clock.Now();
  while (auto arrival = m_mailbox->arrivals.Pop()) {
    AcceptArrival(std::move(*arrival), now);
  }
  TakeOnceDecisions(now);
  for (const ClosedRequest& closed : m_core.TakeWaiting()) {
    Refuse(closed.handle, closed.refusal, now);
  }
  std::unordered_map<uint64_t, bool> sent;
  for (const auto& [id, attempt] : m_sent_attempts) {
    sent[attempt.handle] = true;
  }
  while (!m_open_requests.empty()) {
    const uint64_t handle = m_open_requests.begin()->first;
    const Fate fate = sent.contains(handle) ? Fate::kMayHaveRun : Fate::kNotRun;
    Refuse(handle, ExecutorFailedRefusal(fate, "this VM stopped"), now);
  }
  m_slots.Retire(now);
}

}  // namespace azurespur::filters
