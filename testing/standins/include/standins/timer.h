// One thread that runs functions at given times.

#ifndef STANDINS_TIMER_H_
#define STANDINS_TIMER_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <queue>
#include <thread>
#include <vector>

#include "base/clock.h"

namespace azurespur::standins {

class Timer {
 public:
  Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  ~Timer();

  // Ends the thread and drops the functions that are still waiting.
  void Stop();

  // Runs `action` at `due`; actions due at one instant run in order of calls.
  void At(base::MonoTime due, std::function<void()> action);

  // Runs `action` after `delay`, at once on this thread if it is not positive.
  void After(base::Millis delay, std::function<void()> action);

  // Runs `action` every `period` until the timer stops.
  void Every(base::Millis period, std::function<void()> action);

 private:
  struct Entry {
    base::MonoTime due;
    uint64_t number = 0;
    std::function<void()> action;

    bool operator<(const Entry& other) const {
      return due != other.due ? due > other.due : number > other.number;
    }
  };

  void Run();

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::priority_queue<Entry> m_entries;
  uint64_t m_next_number = 0;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace azurespur::standins

#endif  // STANDINS_TIMER_H_
