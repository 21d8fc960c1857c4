// Queue between threads. Push() is bounded: a full ring refuses, never blocks a
// producer and never drops an item.

#ifndef BASE_RING_H_
#define BASE_RING_H_

#include <atomic>
#include <boost/lockfree/queue.hpp>
#include <cstddef>
#include <memory>
#include <new>
#include <optional>
#include <utility>

#include "base/clock.h"
#include "base/wakeup.h"

namespace azurespur::base {

template <typename T>
class Ring {
 public:
  explicit Ring(size_t capacity) : m_queue(capacity) {}

  Ring(const Ring&) = delete;
  Ring& operator=(const Ring&) = delete;

  ~Ring() {
    while (Pop()) {
    }
  }

  // Returns false if the ring is full; `item` is then unchanged.
  bool Push(T&& item) {
    auto node = std::make_unique<T>(std::move(item));
    if (!m_queue.bounded_push(node.get())) {
      item = std::move(*node);
      return false;
    }
    (void)node.release();
    m_wakeup.Notify();
    return true;
  }

  // Takes the item even if the ring is full. For items whose number the caller
  // bounds by other means, such as the results of its own calls.
  void PushUnbounded(T&& item) {
    auto node = std::make_unique<T>(std::move(item));
    if (!m_queue.push(node.get())) {
      throw std::bad_alloc();  // The only cause of a failure.
    }
    (void)node.release();
    m_wakeup.Notify();
  }

  std::optional<T> Pop() {
    T* raw = nullptr;
    if (!m_queue.pop(raw)) {
      return std::nullopt;
    }
    std::unique_ptr<T> node(raw);
    return std::move(*node);
  }

  // Waits up to `timeout` for an item or a Wake().
  std::optional<T> PopWait(Millis timeout) {
    if (auto item = Pop()) {
      return item;
    }
    m_wakeup.Wait(timeout);
    return Pop();
  }

  // Wakes a consumer that waits in PopWait().
  void Wake() { m_wakeup.Notify(); }

 private:
  boost::lockfree::queue<T*> m_queue;
  Wakeup m_wakeup;
};

}  // namespace azurespur::base

#endif  // BASE_RING_H_
