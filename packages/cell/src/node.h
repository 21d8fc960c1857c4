// Implementation of CellNode. Everything except the public methods runs on the
// node's thread.

#ifndef CELL_SRC_NODE_H_
#define CELL_SRC_NODE_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "admission_board.h"
#include "admission_publisher.h"
#include "base/mailbox.h"
#include "base/metrics.h"
#include "cell/cell_node.h"
#include "cell/messages.h"
#include "cell/snapshot_store.h"
#include "cell_snapshot.h"
#include "intake_forwarder.h"
#include "intake_writer.h"
#include "leader_choice.h"
#include "leader_term.h"
#include "log_tail.h"
#include "log_timing.h"
#include "node_load.h"
#include "open_job_queries.h"
#include "open_submissions.h"
#include "peer_sender.h"
#include "policy_relay.h"
#include "policy_responder.h"
#include "policy_versions.h"
#include "policy_waiters.h"
#include "received_forwards.h"
#include "recent_records.h"
#include "records_fan_out.h"
#include "request_pacer.h"
#include "snapshot_writer.h"
#include "speed_probe.h"
#include "unstored_ends.h"
#include "view_requirement.h"
#include "view_waiters.h"

namespace azurespur::cell {

inline constexpr size_t kMailboxSize = 16384;
// Behind more, this VM's link is left to orders and records: no requests of
// VMs that can't reach the log are sent or answered.
inline constexpr base::Millis kMaxLinkWaitForRequest{50};
// Per stream; enough for several seconds of records.
inline constexpr size_t kRecentRecordsBytes = 256 << 10;
// About 8 MB. Only refused records are kept for longer than a caller waits.
inline constexpr size_t kMaxReceivedForwards = 64 << 10;

struct PeerState {
  std::string address;
  double work_micros = 0;
  VmResources resources;
  bool ready = false;
  base::MonoTime last_heard{};
};

class Node : public CellNode {
 public:
  Node(const NodeOptions& options,
       const NodeDependencies& dependencies,
       const base::Clock& clock,
       base::Metrics& metrics);
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  ~Node() override { Stop(); }

  // Begins to receive datagrams and to poll, and runs the node's thread.
  void Start();

  // The two parts of Start(), for tests: Begin() starts no thread, and
  // RunPending() does once what the thread does, without waiting.
  void Begin();
  void RunPending();

  void Drain(base::Millis timeout) override;
  void Stop() override;

  void Submit(jobs::Submission submission,
              const jobs::Caller& caller,
              base::MonoTime deadline,
              std::function<void(SubmissionResult)> done) override;
  void Refuse(jobs::JobId job,
              const jobs::Caller& caller,
              base::MonoTime deadline,
              std::function<void(IntakeOutcome)> done) override;
  void Cancel(jobs::JobId job,
              const jobs::Caller& caller,
              base::MonoTime deadline,
              std::function<void(IntakeOutcome)> done) override;
  void FindState(jobs::JobId job,
                 const jobs::Caller& caller,
                 base::MonoTime deadline,
                 std::function<void(JobStateResult)> done) override;
  void CountPending(std::string queue,
                    base::MonoTime deadline,
                    std::function<void(PendingCountResult)> done) override;
  std::shared_ptr<const jobs::CellPolicy> policy() const override;
  std::optional<base::MonoTime> policy_as_of() const override;
  std::optional<base::MonoTime> policy_outdated_since() const override;
  void WhenPolicyCurrent(const PolicyRequirement& requirement,
                         base::MonoTime deadline,
                         std::function<void(bool)> done) override;
  bool ready() const override { return m_ready.load(); }
  void Dump(std::function<void(std::string)> done) override;

 private:
  bool Post(base::Mail mail);
  void Run();
  // Handles `first`, if any, and waiting mail, then ticks.
  void HandleMailAndTick(std::optional<base::Mail> first);
  void Tick();
  // Logs how much mail was refused since the last call, at intervals.
  void LogRefusedMail(base::MonoTime now);
  void PollStreams(base::MonoTime now);
  void SendFollowerHeartbeat(base::MonoTime now);
  void UpdateReady(base::MonoTime now);

  // Streams.
  bool ApplyIntake(std::string_view bytes);
  bool ApplyWork(std::string_view bytes);
  void OnIntakeStored(int64_t offset, const std::vector<std::string>& records);
  void OnWorkStored(int64_t offset, const std::vector<std::string>& records);

  // Snapshots.
  void ReadSnapshotIfNeeded(base::MonoTime now);
  void OnSnapshotRead(const base::Outcome<SnapshotStore::Values>& values,
                      base::MonoTime sent_at);
  // Returns false if the snapshot is of no use.
  bool Restore(const CellSnapshot& snapshot);
  void LogRestored(const CellSnapshot& snapshot, base::MonoTime sent_at) const;
  // Goes on from the oldest records, without those that were removed.
  void SkipRemovedRecords(base::MonoTime now);
  // True if this VM has skipped records of late, so that its table may lack
  // jobs that others know.
  bool LacksRecords(base::MonoTime now) const;
  void WriteSnapshotIfDue(base::MonoTime now);

  // Datagrams between peers.
  void OnDatagram(std::string_view bytes);
  void OnMessage(const RecordsNotice& notice);
  void OnSegment(const RecordsSegment& segment);
  void OnAnnouncement(LogTail& tail, const RecordsSegment& segment);
  void OnMessage(const LeaderHeartbeat& heartbeat);
  void OnMessage(const FollowerHeartbeat& heartbeat);
  void OnMessage(const AdviceRequest& request);
  void OnMessage(const AdviceReply& reply);
  void OnMessage(const RecordsRequest& request);
  void OnMessage(const ForwardedIntake& forward);
  // `record` is the decoded one of `forward`.
  void StoreForwarded(const ForwardedIntake& forward,
                      const jobs::IntakeRecord& record,
                      base::MonoTime deadline);
  // What another VM may hear of a submission that this one appended for it.
  StoreOutcome OutcomeToTell(jobs::JobId job, StoreOutcome outcome) const;
  void OnMessage(const ForwardedOutcome& answer);
  void OnMessage(const PolicyNotice& notice);
  void OnMessage(const PolicyRequest& request);
  void OnMessage(const PolicySegment& segment);
  void OnMessage(const PolicyOffer& offer);
  void OnMessage(const ForwardedEnds& forwarded);
  void OnMessage(const AdmissionNotice& notice);
  void OnMessage(const OpenJobRequest& request);
  void OnMessage(const OpenJobReply& reply);
  // Hands the ends that the last term on this VM could not store to the leader.
  void ForwardUnstoredEnds(base::MonoTime now);
  // Learns about a new leader from a datagram, possibly before its leader
  // record was read.
  void UpdateAnnouncedLeader(const LeaderInfo& leader);
  LeaderInfo OwnLeaderInfo() const;
  const std::string& LeaderAddress() const;
  // True if a recent datagram reported that the leader can append.
  bool LeaderCanAppend(base::MonoTime now) const;
  void SendForward(uint64_t id, const std::string& record, base::Millis wait);
  // Requests records up to `known_end` from another VM if this one can't read
  // them from the log.
  void CatchUpFromPeer(LogTail& tail, Stream stream, int64_t known_end);
  // Addresses of the other VMs that this one knows of: the leader and its
  // followers.
  std::vector<std::string> KnownPeers() const;
  // The address of another VM, a different one each time.
  std::string NextPeer();
  void SendTo(const std::string& address, const Message& message);
  void Notify(const std::string& address,
              Stream stream,
              int64_t offset,
              const std::vector<std::string>& records,
              const LeaderInfo& leader);
  void NotifyPeers(Stream stream,
                   int64_t offset,
                   const std::vector<std::string>& records);
  std::vector<std::string> PeerAddresses() const;

  // Election and leadership.
  void StartElectionIfDue(base::MonoTime now);
  void OnElectionAppend(uint64_t epoch,
                        int64_t offset,
                        const AppendResult& result);
  void BeginTermIfElected();
  void BeginTerm(uint64_t epoch);
  void StepDown(std::string_view reason);
  void TickLeader(base::MonoTime now);
  void ForgetSilentFollowers(base::MonoTime now);
  void SendLeaderHeartbeat(base::MonoTime now);
  // Tells followers that were lost of late who leads.
  void NotifyLostFollowers(base::MonoTime now);
  void YieldIfUnsuited(base::MonoTime now);
  // True if this VM would win an election now.
  bool CanTakeOver() const;
  LeaderCandidate OwnCandidate(size_t peers) const;
  std::vector<LeaderCandidate> FollowerCandidates() const;
  void LogTermStart() const;
  // The record that makes this VM the leader once it is stored.
  std::string MakeLeaderRecord(uint64_t epoch) const;
  void AnnounceTerm(uint64_t epoch,
                    int64_t offset,
                    const std::vector<std::string>& records,
                    const std::string& former_leader);
  void PollDirectory(base::MonoTime now);
  void UpdateWorkerEntries(const WorkerDirectory::Entries& entries,
                           base::MonoTime now);
  void DispatchOutput();
  void SendStart(const jobs::StartOrder& order);
  void SendStop(const jobs::StopOrder& order);
  void SendHold(const jobs::HoldOrder& order);
  void SendQuery(const jobs::AdviceQuery& query);
  void OnAdvice(LeaderTerm& term,
                uint64_t query_id,
                const base::Outcome<std::vector<jobs::AdviceTicket>>& outcome);
  // Runs `call` on the node's thread if the term of `epoch` still lasts.
  void PostInTerm(uint64_t epoch, std::function<void(LeaderTerm&)> call);

  // Overload control.
  // Tells the other VMs how long new jobs would wait, if that is due.
  void PublishAdmission(base::MonoTime now);
  // The latest epoch of a leader that this VM knows of.
  uint64_t KnownEpoch() const;
  // Returns why a submission is to be refused; nothing if it isn't.
  std::optional<jobs::AdmissionRefusal> FindOverload(
      const jobs::Submission& submission) const;
  void RefuseOverload(const jobs::JobSpec& spec,
                      const jobs::Caller& caller,
                      const jobs::AdmissionRefusal& refusal,
                      base::MonoTime deadline,
                      std::function<void(SubmissionResult)> done);

  void PollPolicy();
  // Runs on any thread. Applies `latest` if it is newer than the known one, and
  // notes that it was the newest at `as_of`. Returns whether it is newer.
  bool ApplyPolicy(const PolicySource::Policy& latest,
                   std::optional<base::MonoTime> as_of,
                   const std::string& source);
  PolicyVersions VersionsOfPolicy() const;
  // Another VM has named a version.
  void LearnPolicyVersion(int64_t version, uint64_t epoch);
  void RequestPolicyIfDue(base::MonoTime now);
  // Whom to ask for the policy; empty if nobody is known.
  std::string PolicyPeer();
  // Tells the followers the version of this leader's policy.
  void SendPolicyNotice(std::span<const std::string> followers);
  PolicyView ViewPolicy() const;
  void StoreSubmission(const jobs::ReceivedSubmission& received,
                       base::MonoTime deadline,
                       std::function<void(StoreOutcome)> done);
  // Answers a submission that is stored. The intake stream was read up to
  // `intake_next` when it arrived.
  void AnswerStored(jobs::JobId job,
                    int64_t intake_next,
                    base::MonoTime deadline,
                    std::function<void(StoreOutcome)> done);
  // What this VM knows of earlier requests for the job.
  IntakeOutcome RefusalOf(jobs::JobId job, const jobs::Caller& caller) const;
  // kAccepted, unless the job is known and the caller may not access it.
  IntakeOutcome AcceptedFor(jobs::JobId job, const jobs::Caller& caller) const;
  // Refuses a request for the job, if need be by storing that the job doesn't
  // exist.
  void SettleRefusal(jobs::JobId job,
                     const jobs::Caller& caller,
                     base::MonoTime deadline,
                     std::function<void(IntakeOutcome)> done);
  // The declaration that the job doesn't exist is stored.
  void AnswerDeclared(jobs::JobId job,
                      const jobs::Caller& caller,
                      base::MonoTime deadline,
                      std::function<void(IntakeOutcome)> done);
  // Refuses a request for the job while nothing can be stored, unless another
  // VM says that it may be.
  void AskBeforeRefusal(jobs::JobId job,
                        const jobs::Caller& caller,
                        base::MonoTime deadline,
                        std::function<void(IntakeOutcome)> done);
  // Why the job can't go on until the policy changes; empty if it can.
  std::string ReasonToWait(jobs::JobId id) const;
  // Stores that the job doesn't exist, and answers so unless it turns out to.
  void DeclareMissing(jobs::JobId job,
                      base::MonoTime deadline,
                      std::function<void(JobStateResult)> done);
  void StoreIntake(const jobs::IntakeRecord& record,
                   base::MonoTime deadline,
                   std::function<void(StoreOutcome)> done);
  // `own_outcome` is the outcome of this VM's own append, or kNotStored if it
  // made none.
  void Forward(jobs::JobId job,
               std::string record,
               StoreOutcome own_outcome,
               base::MonoTime deadline,
               IntakeForwarder::Done done);
  ViewTimes View() const;
  // Calls `done` once the view meets the requirement, or with false if it can't
  // be met within the caller's time.
  void WhenCurrent(const ViewRequirement& requirement,
                   base::MonoTime deadline,
                   ViewWaiters::Done done);
  // Calls `done` once the intake stream is read to an end that was learnt after
  // this call: only then is a job that is not in the table known to be missing.
  // Passes false if that is not reached and the job is not found meanwhile.
  void WhenKnownOrMissing(jobs::JobId job,
                          base::MonoTime deadline,
                          ViewWaiters::Done done);
  // Reads the streams that waiting questions need.
  void PollForWaiters(base::MonoTime now);
  void PollForWaiters(LogTail& tail, base::MonoTime now);
  // Logs that a question about `subject` met a view that is too old for it.
  void LogOldView(std::string_view question, const std::string& subject) const;
  bool CanForward(std::string_view record, base::MonoTime now) const;
  void CountStored(StoreOutcome outcome, base::MonoTime began);
  void CancelKnown(jobs::JobId job,
                   const jobs::Caller& caller,
                   base::MonoTime deadline,
                   std::function<void(IntakeOutcome)> done);
  // Cancels a job that the whole intake stream lacks.
  void CancelUnknown(jobs::JobId job,
                     const jobs::Caller& caller,
                     base::MonoTime deadline,
                     std::function<void(IntakeOutcome)> done);

  const NodeOptions m_options;
  const NodeDependencies m_dependencies;
  const base::Clock& m_clock;
  base::Counter& m_accepted;
  base::Counter& m_not_accepted;
  base::Counter& m_uncertain;
  base::Counter& m_forwarded;
  base::Counter& m_leading;
  base::Counter& m_starts;
  base::Counter& m_mailbox_rejections;
  base::Counter& m_old_view_answers;
  base::Counter& m_relayed_policies;
  base::Counter& m_refused_beyond_rate;
  base::Counter& m_refused_too_late;
  base::Counter& m_longest_admission_wait;  // Milliseconds; of the leader.
  base::Distribution& m_store_time;
  base::Metrics& m_metrics;
  NodeLoad m_load;
  PeerSender m_peer_sender;
  base::Mailbox m_mailbox{kMailboxSize};
  std::thread m_thread;
  std::atomic<bool> m_stopping{false};
  std::atomic<bool> m_ready{false};
  std::atomic<bool> m_yielded{false};
  // How far the intake stream is applied; may lag behind.
  std::atomic<int64_t> m_intake_next{0};

  mutable std::mutex m_policy_mutex;
  std::shared_ptr<const jobs::CellPolicy> m_policy;
  std::optional<base::MonoTime> m_policy_as_of;
  std::optional<base::MonoTime> m_policy_outdated_since;
  PolicyVersions m_policy_versions;

  // Used only on the node's thread.
  jobs::JobTable m_job_table;
  LogTiming m_log_timing;
  LogTail m_intake_tail;
  LogTail m_work_tail;
  IntakeWriter m_intake_writer;
  IntakeForwarder m_intake_forwarder;
  ReceivedForwards m_received_forwards{m_options.finished_job_retention,
                                       kMaxReceivedForwards};
  OpenSubmissions m_open_submissions{m_options.finished_job_retention};
  OpenJobQueries m_open_job_queries;
  ViewWaiters m_view_waiters;
  PolicyWaiters m_policy_waiters;
  RecordsFanOut m_fan_out;
  RecentRecords m_recent_intake{kRecentRecordsBytes};
  RecentRecords m_recent_work{kRecentRecordsBytes};
  AdmissionBoard m_admission_board;
  AdmissionPublisher m_admission_publisher;  // Of the last term on this VM.
  std::vector<jobs::AdmissionWait> m_last_admission_waits;  // In this term.
  LeaderInfo m_announced_leader;  // The latest leader that a datagram named.
  std::shared_ptr<LeaderTerm> m_term;
  PolicyRelay m_policy_relay;
  PolicyResponder m_policy_responder;
  UnstoredEnds m_unstored_ends;  // Of former terms on this VM.
  std::shared_ptr<SnapshotWriter> m_snapshot_writer;  // Null between terms.
  std::map<std::string, PeerState> m_peers;  // By VM; maintained by the leader.
  // When the leader lost each follower, by address.
  std::map<std::string, base::MonoTime> m_lost_followers;
  std::vector<std::string>
      m_leader_peers;  // Addresses of the leader's live followers.
  double m_best_peer_suitability = 0;         // As the last leader reported it.
  WorkerDirectory::Entries m_worker_entries;  // As of the last read.
  base::MonoTime m_started{};
  base::MonoTime m_last_heartbeat_sent{};
  base::MonoTime m_term_started{};
  base::MonoTime m_leader_heard{};
  RequestPacer m_intake_requests;
  RequestPacer m_work_requests;
  base::MonoTime m_next_leader_heartbeat{};
  base::MonoTime m_last_leader_heartbeat{};
  base::MonoTime m_next_full_heartbeat{};
  size_t m_next_peer = 0;
  base::MonoTime m_next_election{};
  SpeedProbe m_speed_probe;
  base::MonoTime m_next_speed_probe{};
  base::MonoTime m_next_directory{};
  base::MonoTime
      m_worker_entries_read_at{};  // When `m_worker_entries` was read.
  base::MonoTime m_next_scheduling{};
  base::MonoTime m_next_sweep{};
  base::MonoTime m_next_refused_mail_log{};
  int64_t m_logged_refused_mail = 0;
  base::MonoTime m_policy_retry =
      base::MonoTime::max();  // Set while no poll is in flight.
  base::MonoTime m_next_snapshot_read{};
  base::MonoTime m_next_gap_read{};
  base::MonoTime m_lacks_records_until{};
  int m_snapshot_read_failures = 0;     // In a row.
  int m_incomplete_snapshot_reads = 0;  // In a row.
  bool m_snapshot_read_in_flight = false;
  bool m_directory_read = false;
  bool m_directory_poll_in_flight = false;
  bool m_scheduling_needed = true;
  bool m_election_in_flight = false;
  bool m_draining = false;
  bool m_waiting_for_intake = false;
  base::Millis m_jitter{0};
  uint64_t m_nonce = 0;
  uint64_t m_candidate_epoch = 0;  // Of the last election that this VM started.
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_NODE_H_
