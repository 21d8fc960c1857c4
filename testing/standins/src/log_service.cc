#include "standins/log_service.h"

#include <ace/Codecs.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "standins/json_reader.h"
#include "standins/responses.h"

namespace azurespur::standins {

namespace {

constexpr size_t kMaxRecordBytes = 1U << 20;
constexpr int64_t kDefaultReadRecords = 1000;
constexpr base::Millis kPollPeriod{5};
constexpr base::Millis kStallTime{30'000};

std::string Base64(std::string_view bytes) {
  size_t size = 0;
  ACE_Byte* text =
      ACE_Base64::encode(reinterpret_cast<const ACE_Byte*>(bytes.data()),
                         bytes.size(), &size, false);
  std::string result(reinterpret_cast<const char*>(text), size);
  delete[] text;
  return result;
}

std::string RenderSlice(const LogSlice& slice, int64_t now_ms) {
  std::string text = R"({"first":)" + std::to_string(slice.first) +
                     R"(,"next":)" + std::to_string(slice.next) +
                     R"(,"now_ms":)" + std::to_string(now_ms) +
                     R"(,"records":[)";
  bool separate = false;
  for (const LogRecord& record : slice.records) {
    text += separate ? "," : "";
    text += R"({"offset":)" + std::to_string(record.offset) + R"(,"time_ms":)" +
            std::to_string(record.time_ms) + R"(,"body":")" +
            Base64(record.body) + "\"}";
    separate = true;
  }
  return text + "]}";
}

bool IsStreamName(std::string_view name) {
  return !name.empty() &&
         name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789.-") ==
             std::string_view::npos;
}

}  // namespace

LogService::LogService(const LogOptions& options, Timer& timer)
    : m_timer(timer),
      m_store(options.retention_ms),
      m_rate(options.appends_per_second, base::SystemClock().Now()),
      m_random(options.seed) {
  m_timer.Every(kPollPeriod, [this] { AnswerDueReads(); });
}

void LogService::Handle(http::HttpRequest request,
                        std::shared_ptr<Reply> reply) {
  const std::vector<std::string> path = PathSegments(request.path);
  if (path.size() == 1 && path[0] == "faults" && request.method == "POST") {
    HandleFaults(request, *reply);
    return;
  }
  if (path.size() != 2 || path[0] != "streams") {
    reply->Send(UnknownPath(request));
    return;
  }
  if (!IsStreamName(path[1])) {
    reply->Send(ErrorResponse(
        400, "stream \"" + path[1] + "\" does not match [a-z0-9.-]+"));
    return;
  }
  const base::Millis delay(Faults().delay_ms);
  m_timer.After(delay, [this, stream = path[1], request = std::move(request),
                        reply = std::move(reply)]() mutable {
    HandleStream(stream, std::move(request), std::move(reply));
  });
}

void LogService::HandleFaults(const http::HttpRequest& request, Reply& reply) {
  LogFaults faults;
  JsonReader reader(request.body);
  reader.Read("outage", faults.outage)
      .Read("delay_ms", faults.delay_ms)
      .Read("lose_answer_share", faults.lose_answer_share)
      .Read("late_effect_ms", faults.late_effect_ms);
  if (const auto error = reader.Finish()) {
    reply.Send(ErrorResponse(400, *error));
    return;
  }
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_faults = faults;
  }
  reply.Send(JsonResponse("{}"));
}

void LogService::HandleStream(const std::string& stream,
                              http::HttpRequest request,
                              std::shared_ptr<Reply> reply) {
  if (Faults().outage) {
    reply->Send(ErrorResponse(503, "outage"));
  } else if (request.method == "POST") {
    HandleAppend(stream, std::move(request.body), std::move(reply));
  } else if (request.method == "GET") {
    HandleRead(stream, request, std::move(reply));
  } else {
    reply->Send(UnknownPath(request));
  }
}

void LogService::HandleAppend(const std::string& stream,
                              std::string body,
                              std::shared_ptr<Reply> reply) {
  if (body.size() > kMaxRecordBytes) {
    reply->Send(ErrorResponse(413, "body of " + std::to_string(body.size()) +
                                       " bytes is larger than 1048576"));
    return;
  }
  bool lose = false;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_rate.Take(base::SystemClock().Now())) {
      reply->Send(ErrorResponse(429, "append rate reached"));
      return;
    }
    lose = Happens(m_faults.lose_answer_share);
  }
  if (lose) {
    LoseAnswer(stream, std::move(body), std::move(reply));
    return;
  }
  const uint64_t offset = Append(stream, std::move(body));
  reply->Send(JsonResponse(R"({"offset":)" + std::to_string(offset) + "}"));
}

// The effect comes before or after the answer that hides it.
void LogService::LoseAnswer(const std::string& stream,
                            std::string body,
                            std::shared_ptr<Reply> reply) {
  const base::Millis late(Faults().late_effect_ms);
  m_timer.After(late, [this, stream, body = std::move(body)]() mutable {
    Append(stream, std::move(body));
  });
  bool stall = false;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    stall = Happens(0.5);
  }
  if (stall) {
    m_timer.After(kStallTime, [reply] { reply->Abort(); });
  } else {
    reply->Send(ErrorResponse(503, "answer lost"));
  }
}

uint64_t LogService::Append(const std::string& stream, std::string body) {
  uint64_t offset = 0;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    offset = m_store.Append(stream, std::move(body),
                            base::SystemClock().WallMillis());
  }
  AnswerPendingReads(stream);
  return offset;
}

void LogService::HandleRead(const std::string& stream,
                            const http::HttpRequest& request,
                            std::shared_ptr<Reply> reply) {
  const auto from = QueryNumber(request, "from", 0);
  const auto max = QueryNumber(request, "max", kDefaultReadRecords);
  const auto wait_ms = QueryNumber(request, "wait_ms", 0);
  if (!from || !max || !wait_ms) {
    const char* field = !from ? "from" : !max ? "max" : "wait_ms";
    reply->Send(ErrorResponse(400, "field \"" + std::string(field) +
                                       "\": expected a non-negative integer"));
    return;
  }
  PendingRead read{
      stream, static_cast<uint64_t>(*from), static_cast<size_t>(*max),
      base::SystemClock().Now() + base::Millis(*wait_ms), std::move(reply)};
  std::lock_guard<std::mutex> lock(m_mutex);
  bool empty = false;
  http::HttpResponse response = ReadNow(read, &empty);
  if (empty && *wait_ms > 0) {
    m_pending.push_back(std::move(read));
  } else {
    read.reply->Send(std::move(response));
  }
}

void LogService::AnswerPendingReads(const std::string& stream) {
  std::lock_guard<std::mutex> lock(m_mutex);
  for (auto it = m_pending.begin(); it != m_pending.end();) {
    bool empty = true;
    if (it->stream == stream) {
      http::HttpResponse response = ReadNow(*it, &empty);
      if (!empty) {
        it->reply->Send(std::move(response));
      }
    }
    it = empty ? std::next(it) : m_pending.erase(it);
  }
}

void LogService::AnswerDueReads() {
  const base::MonoTime now = base::SystemClock().Now();
  std::lock_guard<std::mutex> lock(m_mutex);
  for (auto it = m_pending.begin(); it != m_pending.end();) {
    if (!m_faults.outage && it->due > now) {
      ++it;
      continue;
    }
    bool empty = false;
    it->reply->Send(m_faults.outage ? ErrorResponse(503, "outage")
                                    : ReadNow(*it, &empty));
    it = m_pending.erase(it);
  }
}

http::HttpResponse LogService::ReadNow(const PendingRead& read, bool* empty) {
  const int64_t now_ms = base::SystemClock().WallMillis();
  const LogSlice slice = m_store.Read(read.stream, read.from, read.max, now_ms);
  *empty = slice.records.empty();
  return JsonResponse(RenderSlice(slice, now_ms));
}

LogFaults LogService::Faults() {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_faults;
}

bool LogService::Happens(double share) {
  return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

}  // namespace azurespur::standins
