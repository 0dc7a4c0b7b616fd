// Translates between HTTP messages and the dispatcher. Reads a request's class, idempotency key, tenant and
// deadline from its head, and turns each final answer into an HTTP response.
//
// Owned by the sidecar, used on the thread of its event loop. A request that does not follow the protocol is
// answered with 400 and never reaches the dispatcher.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "dispatch/dispatcher.h"
#include "http/listener.h"

namespace mothrack::http {

// Why a sound request does not follow the protocol page.
enum class ProtocolError {
  kClass,       // the target names no class
  kMethod,      // method, body or Idempotency-Key do not fit the class
  kId,          // X-Request-ID is missing, repeated or malformed
  kTimeout,     // X-Timeout-Ms is missing, repeated, malformed or out of range
  kRepeatedId,  // another request has the same id
};

class HttpFrontend {
 public:
  // Accepts connections at once. Throws boost::system::system_error if it cannot listen.
  HttpFrontend(boost::asio::io_context& io, const runtime::ListenOptions& options,
               runtime::Descriptors& descriptors, const runtime::MemoryBudget& budget, runtime::Logger& log,
               dispatch::Dispatcher& dispatcher);

  // The functions below forward to Listener.
  runtime::Endpoint local() const { return listener_.local(); }
  void PauseAccepting() { listener_.PauseAccepting(); }
  void ResumeAccepting() { listener_.ResumeAccepting(); }
  int native_handle() { return listener_.native_handle(); }
  void Quiesce(bool on) { listener_.Quiesce(on); }
  bool quiescing() const { return listener_.quiescing(); }
  // The number of clients that waited in the listen backlog without a notification to the event loop.
  std::uint64_t missed_wakeups() const { return listener_.missed_wakeups(); }
  const ClientLog::Counts& client_counts() const { return listener_.client_counts(); }
  // Starts a planned stop. `done` is called when every accepted request has been answered.
  void Drain(std::function<void()> done) { listener_.Drain(std::move(done)); }

 private:
  // The attributes of a request, parsed from its head.
  struct RequestAttributes {
    balancer::ClassId request_class{};
    std::optional<balancer::TenantId> tenant;
    std::string id;
    runtime::Duration timeout{};            // remaining time until the client's deadline
    std::optional<runtime::Duration> work;  // from the header X-Cost
    bool client_retry = false;
  };

  RequestObserver Accept(HttpRequest&& request, StreamedBody streamed_body, RequestMemory memory,
                         const ReplyCallback& reply);
  void Reject(std::string_view id, ProtocolError error, const ReplyCallback& reply);
  std::variant<RequestAttributes, ProtocolError> Parse(const HttpRequest& request, bool has_body) const;

  dispatch::Dispatcher& dispatcher_;
  std::map<std::string, balancer::ClassId, std::less<>> classes_;
  std::map<std::string, balancer::TenantId, std::less<>> tenants_;
  Listener listener_;  // last, because it delivers requests as soon as it exists and must be destroyed first
};

}  // namespace mothrack::http
