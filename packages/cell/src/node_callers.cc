#include "node.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "jobs/account_cap.h"
#include "jobs/records.h"
#include "node_dump.h"

namespace azurespur::cell {

using base::Millis;
using base::MonoTime;

namespace {

// Minimum time between two reads of a stream for waiting questions.
constexpr Millis kMinWaiterPollInterval{20};

// -1 if the age is unknown.
int64_t AgeMillis(const StreamFreshness& freshness, MonoTime now) {
  const auto as_of = freshness.complete_as_of();
  return as_of ? base::MillisBetween(*as_of, now) : -1;
}

IntakeOutcome ToIntakeOutcome(StoreOutcome outcome) {
  switch (outcome) {
    case StoreOutcome::kStored:
      return IntakeOutcome::kAccepted;
    case StoreOutcome::kNotStored:
      return IntakeOutcome::kNotAccepted;
    case StoreOutcome::kUnknown:
      return IntakeOutcome::kUnknown;
  }
  return IntakeOutcome::kUnknown;
}

}  // namespace

// The submission counts as open from here on, so that another request for the
// job that is refused meanwhile isn't told that it never runs. With a full
// mailbox the job can't be looked up, so it may be known. A job whose earlier
// submission may be stored can't be refused truthfully, so it is taken on even
// under overload.
void Node::Submit(jobs::Submission submission,
                  const jobs::Caller& caller,
                  MonoTime deadline,
                  std::function<void(SubmissionResult)> done) {
  const jobs::JobId job = submission.spec.id;
  const int64_t intake_next = m_intake_next.load();
  const bool repeated = m_open_submissions.MayBeStored(job, m_clock.Now());
  m_open_submissions.Begin(job);
  auto finish = [this, job, caller, deadline, done](StoreOutcome outcome) {
    m_open_submissions.End(job, outcome, m_clock.Now());
    if (outcome == StoreOutcome::kNotStored) {
      SettleRefusal(job, caller, deadline, [done](IntakeOutcome settled) {
        done({settled, std::nullopt});
      });
    } else if (outcome == StoreOutcome::kStored) {
      // The stored job may be an earlier one of another account.
      done({AcceptedFor(job, caller), std::nullopt});
    } else {
      done({ToIntakeOutcome(outcome), std::nullopt});
    }
  };
  const bool posted = Post(
      [this,
       received = jobs::ReceivedSubmission{std::move(submission), intake_next},
       repeated, caller, deadline, finish, done] {
        const auto overload = repeated || m_draining
                                  ? std::nullopt
                                  : FindOverload(received.submission);
        if (!overload) {
          StoreSubmission(received, deadline, finish);
          return;
        }
        const jobs::JobSpec& spec = received.submission.spec;
        m_open_submissions.End(spec.id, StoreOutcome::kNotStored,
                               m_clock.Now());
        RefuseOverload(spec, caller, *overload, deadline, done);
      });
  if (!posted) {
    m_open_submissions.End(job, StoreOutcome::kNotStored, m_clock.Now());
    done({IntakeOutcome::kUnknown, std::nullopt});
  }
}

void Node::StoreSubmission(const jobs::ReceivedSubmission& received,
                           MonoTime deadline,
                           std::function<void(StoreOutcome)> done) {
  const jobs::JobId job = received.submission.spec.id;
  if (m_job_table.StateOf(job)) {
    done(StoreOutcome::kStored);
    return;
  }
  if (m_draining) {
    done(StoreOutcome::kNotStored);
    return;
  }
  StoreIntake(received, deadline,
              [this, job, intake_next = received.intake_next, deadline,
               done = std::move(done)](StoreOutcome outcome) {
                if (outcome == StoreOutcome::kStored) {
                  AnswerStored(job, intake_next, deadline, done);
                } else {
                  done(outcome);
                }
              });
}

// A stored submission is void if the job was declared missing after the request
// arrived, so it is accepted only once this VM has read it in the stream. A
// void one is not stored again: its caller may have left and heard the
// declaration.
void Node::AnswerStored(jobs::JobId job,
                        int64_t intake_next,
                        MonoTime deadline,
                        std::function<void(StoreOutcome)> done) {
  WhenKnownOrMissing(
      job, deadline,
      [this, job, intake_next, done = std::move(done)](bool certain) {
        if (m_job_table.StateOf(job)) {
          done(StoreOutcome::kStored);
          return;
        }
        if (!certain) {
          done(StoreOutcome::kUnknown);
          return;
        }
        base::LogEvent(base::Severity::kInfo, "AZ9219",
                       "stored submission is void",
                       {{"job", jobs::FormatJobId(job)},
                        {"received_at", std::to_string(intake_next)},
                        {"intake_next", std::to_string(m_intake_tail.next())}});
        done(StoreOutcome::kNotStored);
      });
}

void Node::StoreIntake(const jobs::IntakeRecord& record,
                       MonoTime deadline,
                       std::function<void(StoreOutcome)> done) {
  const MonoTime began = m_clock.Now();
  const jobs::JobId job = jobs::JobOf(record);
  std::string bytes = jobs::EncodeIntake(record);
  auto finish = [this, began, done = std::move(done)](StoreOutcome outcome) {
    CountStored(outcome, began);
    done(outcome);
  };
  // A slow log completes few appends per second, so the leader appends for all
  // VMs.
  if (m_log_timing.IsSlow() && CanForward(bytes, began)) {
    Forward(job, std::move(bytes), StoreOutcome::kNotStored, deadline,
            std::move(finish));
    return;
  }
  m_intake_writer.Store(bytes, deadline,
                        [this, job, bytes, deadline,
                         finish = std::move(finish)](StoreOutcome outcome) {
                          const MonoTime now = m_clock.Now();
                          if (outcome == StoreOutcome::kStored ||
                              now >= deadline || !CanForward(bytes, now)) {
                            finish(outcome);
                            return;
                          }
                          Forward(job, bytes, outcome, deadline, finish);
                        });
}

void Node::Forward(jobs::JobId job,
                   std::string record,
                   StoreOutcome own_outcome,
                   MonoTime deadline,
                   IntakeForwarder::Done done) {
  const MonoTime now = m_clock.Now();
  m_forwarded.Add(1);
  base::LogEvent(base::Severity::kInfo, "AZ9406",
                 "forwarding an intake record to the leader",
                 {{"job", jobs::FormatJobId(job)},
                  {"leader", LeaderAddress()},
                  {"leader_heard_ms",
                   std::to_string(base::MillisBetween(m_leader_heard, now))},
                  {"own_outcome", std::string(StoreOutcomeName(own_outcome))},
                  {"log_slow", m_log_timing.IsSlow() ? "true" : "false"}});
  m_intake_forwarder.Start(std::move(record),
                           /*uncertain=*/own_outcome == StoreOutcome::kUnknown,
                           deadline, now, std::move(done));
}

bool Node::CanForward(std::string_view record, MonoTime now) const {
  return LeaderCanAppend(now) && IntakeForwarder::Fits(record);
}

void Node::CountStored(StoreOutcome outcome, MonoTime began) {
  m_store_time.Observe(
      static_cast<double>(base::MillisBetween(began, m_clock.Now())));
  switch (outcome) {
    case StoreOutcome::kStored:
      m_accepted.Add(1);
      return;
    case StoreOutcome::kNotStored:
      m_not_accepted.Add(1);
      return;
    case StoreOutcome::kUnknown:
      m_uncertain.Add(1);
      return;
  }
}

void Node::Cancel(jobs::JobId job,
                  const jobs::Caller& caller,
                  MonoTime deadline,
                  std::function<void(IntakeOutcome)> done) {
  const bool posted = Post([this, job, caller, deadline, done] {
    if (m_job_table.StateOf(job)) {
      CancelKnown(job, caller, deadline, done);
      return;
    }
    WhenKnownOrMissing(job, deadline,
                       [this, job, caller, deadline, done](bool certain) {
                         if (m_job_table.StateOf(job)) {
                           CancelKnown(job, caller, deadline, done);
                         } else if (certain) {
                           CancelUnknown(job, caller, deadline, done);
                         } else {
                           done(IntakeOutcome::kNotAccepted);
                         }
                       });
  });
  if (!posted) {
    done(IntakeOutcome::kNotAccepted);
  }
}

void Node::CancelKnown(jobs::JobId job,
                       const jobs::Caller& caller,
                       MonoTime deadline,
                       std::function<void(IntakeOutcome)> done) {
  const IntakeOutcome allowed = AcceptedFor(job, caller);
  if (allowed != IntakeOutcome::kAccepted ||
      jobs::IsFinal(*m_job_table.StateOf(job))) {
    done(allowed);
    return;
  }
  StoreIntake(jobs::CancelRecord{job}, deadline,
              [done = std::move(done)](StoreOutcome outcome) {
                done(ToIntakeOutcome(outcome));
              });
}

// Some VM, this one included, may have sent an append of the job and not heard
// of it. A stored cancellation meets that append whenever it is carried out.
void Node::CancelUnknown(jobs::JobId job,
                         const jobs::Caller& caller,
                         MonoTime deadline,
                         std::function<void(IntakeOutcome)> done) {
  StoreIntake(
      jobs::CancelRecord{job}, deadline,
      [this, job, caller, done = std::move(done)](StoreOutcome outcome) {
        if (outcome != StoreOutcome::kStored) {
          done(ToIntakeOutcome(outcome));
        } else if (m_job_table.StateOf(job)) {
          done(AcceptedFor(job, caller));
        } else {
          done(IntakeOutcome::kNoSuchJob);
        }
      });
}

std::string Node::ReasonToWait(jobs::JobId id) const {
  const jobs::Job* job = m_job_table.Find(id);
  const auto current = policy();
  if (job == nullptr || !current) {
    return {};
  }
  const auto step = jobs::FindStepBeyondCap(*job, *current);
  return step ? "step " + std::to_string(*step) +
                    " exceeds the cap of account \"" + job->spec.account + "\""
              : std::string();
}

void Node::FindState(jobs::JobId job,
                     const jobs::Caller& caller,
                     MonoTime deadline,
                     std::function<void(JobStateResult)> answer) {
  auto done = [this, job, caller,
               answer = std::move(answer)](JobStateResult result) {
    if (result.state && !jobs::MayAccess(caller, m_job_table.AccountOf(job))) {
      result = {result.known, std::nullopt, /*other_account=*/true};
    } else if (result.state && !jobs::IsFinal(*result.state)) {
      result.reason = ReasonToWait(job);
    }
    answer(result);
  };
  const bool posted = Post([this, job, deadline, done] {
    const auto state = m_job_table.StateOf(job);
    if (!state) {
      WhenKnownOrMissing(job, deadline,
                         [this, job, deadline, done](bool certain) {
                           const auto latest = m_job_table.StateOf(job);
                           if (latest || !certain) {
                             done({certain, latest});
                           } else {
                             DeclareMissing(job, deadline, done);
                           }
                         });
      return;
    }
    // A final state can't be out of date. While the log can't be read, the
    // table is the best that there is.
    if (jobs::IsFinal(*state) || m_intake_tail.failing() ||
        m_work_tail.failing()) {
      done({true, state});
      return;
    }
    ViewRequirement requirement;
    requirement.max_age = m_options.max_job_state_age;
    WhenCurrent(requirement, deadline, [this, job, done](bool current) {
      if (!current) {
        LogOldView("job state, answered all the same", jobs::FormatJobId(job));
      }
      // A snapshot without the job may have replaced the table meanwhile.
      const auto latest = m_job_table.StateOf(job);
      done({latest.has_value(), latest});
    });
  });
  if (!posted) {
    done({});
  }
}

// Some VM, or a former life of this one, may have sent an append of the job
// that is still to be carried out. The record makes that append void.
void Node::DeclareMissing(jobs::JobId job,
                          MonoTime deadline,
                          std::function<void(JobStateResult)> done) {
  StoreIntake(
      jobs::MissingJobRecord{job}, deadline,
      [this, job, deadline, done = std::move(done)](StoreOutcome outcome) {
        if (outcome != StoreOutcome::kStored) {
          done({});
          return;
        }
        WhenKnownOrMissing(job, deadline, [this, job, done](bool certain) {
          done({certain, m_job_table.StateOf(job)});
        });
      });
}

void Node::WhenKnownOrMissing(jobs::JobId job,
                              MonoTime deadline,
                              ViewWaiters::Done done) {
  if (m_job_table.StateOf(job)) {
    done(true);
    return;
  }
  ViewRequirement requirement;
  requirement.not_before = m_clock.Now();
  requirement.needs_work = false;
  requirement.job = job;
  WhenCurrent(requirement, deadline,
              [this, job, done = std::move(done)](bool current) {
                const bool known = m_job_table.StateOf(job).has_value();
                const bool whole = current && !LacksRecords(m_clock.Now());
                if (!known && !whole) {
                  m_old_view_answers.Add(1);
                  LogOldView("unknown job", jobs::FormatJobId(job));
                }
                done(known || whole);
              });
}

void Node::CountPending(std::string queue,
                        MonoTime deadline,
                        std::function<void(PendingCountResult)> done) {
  const bool posted = Post([this, queue, deadline, done] {
    ViewRequirement requirement;
    requirement.max_age = m_options.max_pending_count_age;
    WhenCurrent(requirement, deadline, [this, queue, done](bool current) {
      if (current && !LacksRecords(m_clock.Now())) {
        done({m_job_table.CountPending(queue)});
        return;
      }
      m_old_view_answers.Add(1);
      LogOldView("pending count", queue);
      done({});
    });
  });
  if (!posted) {
    done({});
  }
}

void Node::WhenCurrent(const ViewRequirement& requirement,
                       MonoTime deadline,
                       ViewWaiters::Done done) {
  const MonoTime now = m_clock.Now();
  if (IsCurrent(View(), requirement, now)) {
    done(true);
    return;
  }
  // Not to the end of the caller's time, which it can use for another VM.
  const MonoTime end = std::min(deadline, now + m_options.max_catch_up_wait);
  if (now >= end || !m_view_waiters.Add(requirement, end, done)) {
    done(false);
    return;
  }
  PollForWaiters(now);
}

void Node::PollForWaiters(MonoTime now) {
  const ViewWaiters::Missing missing = m_view_waiters.FindMissing(View(), now);
  if (missing.intake) {
    PollForWaiters(m_intake_tail, now);
  }
  // The leader's view of the work stream follows from its own appends.
  if (missing.work && !m_term && m_intake_tail.caught_up()) {
    PollForWaiters(m_work_tail, now);
  }
}

void Node::PollForWaiters(LogTail& tail, MonoTime now) {
  const Millis interval =
      tail.failing() ? m_options.suspect_poll_interval : kMinWaiterPollInterval;
  if (!tail.reading() && now >= tail.last_attempt() + interval) {
    tail.Poll();
  }
}

ViewTimes Node::View() const {
  return {m_intake_tail.freshness().complete_as_of(),
          m_work_tail.freshness().complete_as_of()};
}

void Node::LogOldView(std::string_view question,
                      const std::string& subject) const {
  const MonoTime now = m_clock.Now();
  const StreamFreshness& intake = m_intake_tail.freshness();
  const StreamFreshness& work = m_work_tail.freshness();
  base::LogEvent(base::Severity::kWarning, "AZ9210",
                 "view of the streams is too old for an answer",
                 {{"question", std::string(question)},
                  {"subject", subject},
                  {"intake_age_ms", std::to_string(AgeMillis(intake, now))},
                  {"intake_next", std::to_string(intake.next())},
                  {"intake_end", std::to_string(intake.known_end())},
                  {"work_age_ms", std::to_string(AgeMillis(work, now))},
                  {"work_next", std::to_string(work.next())},
                  {"work_end", std::to_string(work.known_end())}});
}

void Node::Dump(std::function<void(std::string)> done) {
  const bool posted = Post([this, done] {
    NodeView view;
    view.vm = m_options.vm;
    view.leader = m_job_table.leader();
    view.leading = m_term != nullptr;
    view.ready = m_ready.load();
    view.intake_next = m_intake_tail.next();
    view.work_next = m_work_tail.next();
    view.intake_age_ms = AgeMillis(m_intake_tail.freshness(), m_clock.Now());
    view.work_age_ms = AgeMillis(m_work_tail.freshness(), m_clock.Now());
    view.policy_version = policy() ? policy()->version : 0;
    done(DumpNode(view, m_job_table, m_term ? &m_term->scheduler() : nullptr,
                  m_clock.Now()));
  });
  if (!posted) {
    done("{}");
  }
}

}  // namespace azurespur::cell
