// The HTTP API of tasks, under /v1/tasks.

#ifndef CONTROL_TASK_API_H_
#define CONTROL_TASK_API_H_

#include <memory>

#include "http/http_message.h"
#include "http/http_server.h"

namespace azurespur::control {

class ListsView;
class TaskService;

// Parses calls, passes them on and renders the answers. Thread-safe.
class TaskApi {
 public:
  TaskApi(TaskService& tasks, const ListsView& lists);

  // Returns false, and leaves the reply alone, if the path is not of tasks.
  bool Handle(const http::HttpRequest& request,
              std::shared_ptr<http::HttpReply> reply);

 private:
  void Submit(const http::HttpRequest& request,
              std::shared_ptr<http::HttpReply> reply);
  void Cancel(const http::HttpRequest& request,
              std::shared_ptr<http::HttpReply> reply);
  void List(const http::HttpRequest& request, http::HttpReply& reply);

  TaskService& m_tasks;
  const ListsView& m_lists;
};

}  // namespace azurespur::control

#endif  // CONTROL_TASK_API_H_
