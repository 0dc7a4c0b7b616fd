// What makes an HTTP message a request of this protocol: its class, key, tenant and deadline; and the answer
// that each end of a request is told with.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "dispatch/dispatcher.h"
#include "http/listener.h"

namespace mothrack::http {

class HttpFront {
 public:
  // Takes requests at once. Throws boost::system::system_error where it can't listen.
  HttpFront(boost::asio::io_context& io, const runtime::ListenOn& where, runtime::Descriptors& descriptors,
            runtime::ByteBudget& budget, runtime::Logger& log, dispatch::Dispatcher& dispatcher);

  runtime::Endpoint local() const { return listener_.local(); }
  void HandOver() { listener_.HandOver(); }
  void TakeBack() { listener_.TakeBack(); }
  int native_handle() { return listener_.native_handle(); }
  void Rest(bool on) { listener_.Rest(on); }
  bool resting() const { return listener_.resting(); }
  // Times that clients waited and the system did not tell.
  std::uint64_t missed() const { return listener_.missed(); }
  // A planned stop; `done` is called when all that was taken is answered.
  void Drain(std::function<void()> done) { listener_.Drain(std::move(done)); }

 private:
  RequestObserver Take(HttpRequest request, ComingBody coming, ReplyCallback reply);

  dispatch::Dispatcher& dispatcher_;
  std::map<std::string, balancer::ClassId, std::less<>> classes_;
  std::map<std::string, balancer::TenantId, std::less<>> tenants_;
  Listener listener_;  // last: it takes requests from here on, and goes first
};

}  // namespace mothrack::http
