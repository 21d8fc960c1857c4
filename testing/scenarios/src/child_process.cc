#include "scenario/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

namespace azurespur::scenario {

namespace {

constexpr base::Millis kPollPeriod{5};
constexpr int kSignalExitBase = 128;

}  // namespace

ChildProcess::~ChildProcess() {
  if (Running()) {
    Signal(SIGKILL);
    Wait(base::Millis(10'000));
  }
}

base::Outcome<base::Unit> ChildProcess::Start(
    const std::vector<std::string>& command,
    const std::string& log) {
  m_log = log;
  m_exit_code.reset();
  std::error_code no_file;
  const auto size = std::filesystem::file_size(log, no_file);
  m_log_start = no_file ? 0 : static_cast<std::streamoff>(size);
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&actions, 1, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  const int failure = posix_spawn(&m_pid, command[0].c_str(), &actions, nullptr,
                                  arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failure != 0) {
    m_pid = 0;
    return base::Error{base::ErrorCode::kUnavailable,
                       "program \"" + command[0] + "\" can't be started"};
  }
  return base::Unit{};
}

bool ChildProcess::Running() {
  return m_pid != 0 && !Reap();
}

void ChildProcess::Signal(int signal) {
  if (Running()) {
    kill(m_pid, signal);
  }
}

std::optional<int> ChildProcess::Wait(base::Millis limit) {
  const base::MonoTime end = base::SystemClock().Now() + limit;
  while (Running() && base::SystemClock().Now() < end) {
    std::this_thread::sleep_for(kPollPeriod);
  }
  return m_exit_code;
}

std::optional<std::string> ChildProcess::WaitForLine(std::string_view text,
                                                     base::Millis limit) {
  const base::MonoTime end = base::SystemClock().Now() + limit;
  while (base::SystemClock().Now() < end) {
    const bool running = Running();
    std::ifstream in(m_log);
    in.seekg(m_log_start);
    std::optional<std::string> found;
    std::string line;
    while (std::getline(in, line) && !in.eof()) {
      if (line.find(text) != std::string::npos) {
        found = line;
      }
    }
    if (found || !running) {
      return found;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return std::nullopt;
}

bool ChildProcess::Reap() {
  if (m_exit_code) {
    return true;
  }
  int status = 0;
  if (waitpid(m_pid, &status, WNOHANG) != m_pid) {
    return false;
  }
  m_exit_code = WIFSIGNALED(status) ? kSignalExitBase + WTERMSIG(status)
                                    : WEXITSTATUS(status);
  return true;
}

}  // namespace azurespur::scenario
