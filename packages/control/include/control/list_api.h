// HTTP face of the lists and proposals. docs/LISTS.md describes it.

#ifndef CONTROL_LIST_API_H_
#define CONTROL_LIST_API_H_

#include <memory>
#include <string_view>

#include "control/list_name.h"

namespace azurespur::http {
class HttpReply;
struct HttpRequest;
}  // namespace azurespur::http

namespace azurespur::control {

class ListLedger;
class ListReporter;
class ListService;

// Thread-safe; never blocks. All arguments must outlive it.
class ListApi {
 public:
  ListApi(ListService& service,
          const ListLedger& ledger,
          const ListReporter& reporter);

  // Returns false, without touching `reply`, if the path is none of the API's.
  bool Handle(const http::HttpRequest& request,
              const std::shared_ptr<http::HttpReply>& reply);

 private:
  void HandleList(ListName list,
                  std::string_view rest,
                  const http::HttpRequest& request,
                  const std::shared_ptr<http::HttpReply>& reply);
  void Show(ListName list,
            const http::HttpRequest& request,
            http::HttpReply& reply) const;
  void Diff(ListName list,
            const http::HttpRequest& request,
            http::HttpReply& reply) const;
  void Check(ListName list,
             const http::HttpRequest& request,
             http::HttpReply& reply) const;
  void Edit(ListName list, std::string_view id, http::HttpReply& reply) const;
  void Publish(ListName list,
               const http::HttpRequest& request,
               const std::shared_ptr<http::HttpReply>& reply);
  void Confirm(http::HttpReply& reply) const;
  void Proposals(http::HttpReply& reply) const;

  ListService& m_service;
  const ListLedger& m_ledger;
  const ListReporter& m_reporter;
};

}  // namespace azurespur::control

#endif  // CONTROL_LIST_API_H_
