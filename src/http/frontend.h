// What makes an HTTP message a request of this protocol: its class, key, tenant and deadline; and the answer
// that each end of a request is told with.
//
// Owned by the sidecar, on the thread of its event loop. What is no request of this protocol is answered with
// 400 and never reaches the dispatcher.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "dispatch/dispatcher.h"
#include "http/listener.h"

namespace mothrack::http {

class HttpFrontend {
 public:
  // Takes requests at once. Throws boost::system::system_error where it can't listen.
  HttpFrontend(boost::asio::io_context& io, const runtime::ListenOn& where, runtime::Descriptors& descriptors,
               runtime::ByteBudget& budget, runtime::Logger& log, dispatch::Dispatcher& dispatcher);

  runtime::Endpoint local() const { return listener_.local(); }
  void PauseAccepting() { listener_.PauseAccepting(); }
  void ResumeAccepting() { listener_.ResumeAccepting(); }
  int native_handle() { return listener_.native_handle(); }
  void Quiesce(bool on) { listener_.Quiesce(on); }
  bool quiescing() const { return listener_.quiescing(); }
  // Times that clients waited and the system did not tell.
  std::uint64_t missed_wakeups() const { return listener_.missed_wakeups(); }
  // A planned stop; `done` is called when all that was taken is answered.
  void Drain(std::function<void()> done) { listener_.Drain(std::move(done)); }

 private:
  // What a request's head says of it.
  struct RequestAttributes {
    balancer::ClassId request_class{};
    std::optional<balancer::TenantId> tenant;
    std::string id;
    runtime::Duration timeout{};  // what is left of it
    std::optional<runtime::Duration> work;
    bool client_retry = false;
  };
  struct InvalidRequest {
    std::string reason;
  };

  RequestObserver Accept(HttpRequest request, ComingBody coming, const ReplyCallback& reply);
  std::variant<RequestAttributes, InvalidRequest> Parse(const HttpRequest& request, bool has_body) const;

  dispatch::Dispatcher& dispatcher_;
  std::map<std::string, balancer::ClassId, std::less<>> classes_;
  std::map<std::string, balancer::TenantId, std::less<>> tenants_;
  Listener listener_;  // last: it takes requests from here on, and goes first
};

}  // namespace mothrack::http
