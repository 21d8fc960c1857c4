#include "http_calls.h"

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdint>
#include <ctime>
#include <future>
#include <string>
#include <vector>

#include "http/http_client.h"
#include "http/http_server.h"

namespace azurespur::jobs {

namespace {

constexpr int kCallsAtATime = 16;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kNanosPerMicro = 1e3;

double ProcessMicros() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * kMicrosPerSecond +
         static_cast<double>(now.tv_nsec) / kNanosPerMicro;
}

// Answers each request until the pipe is closed.
[[noreturn]] void Serve(int port_pipe, int end_pipe) {
  auto server = base::Value(http::StartHttpServer(
      {}, [](http::HttpRequest, std::shared_ptr<http::HttpReply> reply) {
        http::HttpResponse response;
        response.body = R"({"clock":482113})";
        reply->Send(std::move(response));
      }));
  const uint16_t port = server->port();
  (void)!write(port_pipe, &port, sizeof(port));
  char none = 0;
  (void)!read(end_pipe, &none, 1);
  _exit(0);
}

void CallInBatches(uint16_t port, int calls, bool fresh) {
  auto client = http::StartHttpClient();
  http::HttpCall call;
  call.method = "POST";
  call.url = "http://127.0.0.1:" + std::to_string(port) + "/order";
  call.headers = {{"Content-Type", "application/json"}};
  call.body = std::string(400, 'x');
  call.new_connection = fresh;
  for (int done = 0; done < calls; done += kCallsAtATime) {
    std::vector<std::promise<void>> answers(kCallsAtATime);
    for (std::promise<void>& answer : answers) {
      client->Send(call, [&answer](http::HttpResult) { answer.set_value(); });
    }
    for (std::promise<void>& answer : answers) {
      answer.get_future().wait();
    }
  }
}

}  // namespace

double MicrosPerCall(int calls, bool fresh) {
  int port_pipe[2];
  int end_pipe[2];
  if (pipe(port_pipe) != 0 || pipe(end_pipe) != 0) {
    return -1;
  }
  const pid_t child = fork();
  if (child == 0) {
    close(end_pipe[1]);
    Serve(port_pipe[1], end_pipe[0]);
  }
  uint16_t port = 0;
  (void)!read(port_pipe[0], &port, sizeof(port));
  const double from = ProcessMicros();
  CallInBatches(port, calls, fresh);
  const double spent = ProcessMicros() - from;
  for (int end : {port_pipe[0], port_pipe[1], end_pipe[0], end_pipe[1]}) {
    close(end);
  }
  waitpid(child, nullptr, 0);
  return spent / calls;
}

}  // namespace azurespur::jobs
