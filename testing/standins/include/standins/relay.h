// TCP and UDP relay with named links that can be cut and slowed down.

#ifndef STANDINS_RELAY_H_
#define STANDINS_RELAY_H_

#include <ace/Reactor.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "base/outcome.h"
#include "http/http_message.h"
#include "standins/relay_link.h"
#include "standins/reply.h"
#include "standins/tcp_relay.h"
#include "standins/timer.h"
#include "standins/udp_relay.h"

namespace azurespur::standins {

class Relay {
 public:
  Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;
  ~Relay();

  // Adds a link from 127.0.0.1:`port` (0 picks one, for TCP and UDP alike) to
  // `target`, an "IP:PORT", or gives an existing link a new target. Returns
  // the port.
  base::Outcome<uint16_t> SetLink(const std::string& name,
                                  uint16_t port,
                                  const std::string& target);

  // `PUT /links/NAME` {"listen":N,"target":S} and
  // `POST /links/NAME` {"cut":B,"reset":B,"delay_ms":N}.
  void HandleControl(const http::HttpRequest& request, Reply& reply);

 private:
  struct Link {
    RelayLink state;
    std::unique_ptr<TcpRelay> tcp;
    std::unique_ptr<UdpRelay> udp;
  };

  base::Outcome<uint16_t> OpenLink(Link& link, uint16_t port);
  http::HttpResponse PutLink(const std::string& name, const std::string& body);
  http::HttpResponse PostLink(const std::string& name, const std::string& body);

  std::mutex m_mutex;
  std::map<std::string, std::unique_ptr<Link>> m_links;
  Timer m_timer;
  std::unique_ptr<ACE_Reactor> m_reactor;
  std::thread m_thread;
};

}  // namespace azurespur::standins

#endif  // STANDINS_RELAY_H_
