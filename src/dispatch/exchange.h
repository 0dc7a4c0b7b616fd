// The seam between the dispatcher and a protocol. A *front end* accepts requests from clients and submits
// them; each gets exactly one Final, unless its client disconnects first. A *transport* carries attempts and
// probes to upstreams; each ends with exactly one call of its OnEnd. The dispatcher between them looks into
// no message: what a front end of one protocol makes only the transport of the same protocol reads, and the
// other way round for replies. All calls are made on the one event loop.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "balancer/balancer.h"
#include "dispatch/membership.h"
#include "runtime/clock.h"

namespace mothrack::dispatch {

// A request as it is sent to upstreams; shared by its attempts, which read it only.
class Message {
 public:
  virtual ~Message() = default;
};

// What an upstream answered.
class Reply {
 public:
  virtual ~Reply() = default;
};

// How a request ended, given to its front end once.
struct Final {
  enum class Kind {
    kServed,    // `reply` is the answer
    kRejected,  // nothing was done, or doing it again is harmless
    kFailed,    // no promise whether it took effect
  };
  Kind kind = Kind::kFailed;
  // Of a request that was not served: what the last attempt got, where that is an answer of its own that says
  // more than the front end could.
  std::unique_ptr<Reply> reply;
  bool streaming = false;           // the body of `reply` still comes; the client may disconnect until it has
  runtime::Duration retry_after{};  // of a rejection; zero: no advice
  bool late = false;                // the request's deadline has passed
  std::size_t attempts = 0;         // made so far; some may still be out
  std::optional<balancer::Outcome> last;  // of the attempt that ended last; absent where none did
};
using OnFinal = std::function<void(Final)>;

// A request as a front end submits it.
struct NewRequest {
  balancer::ClassId request_class{};
  std::optional<balancer::TenantId> tenant{};
  runtime::TimePoint deadline{};
  // Its body still comes: its time counts from Dispatcher::OnRequestComplete() on, and `deadline` says how
  // long it is.
  bool arriving = false;
  std::optional<runtime::Duration> work{};  // expected work, where the client says
  bool client_retry = false;                // the client says that it sends this again
  // The id under which the request must not come again, open or ended a short while ago; empty: none.
  std::string key{};
  std::shared_ptr<const Message> message;
  OnFinal on_final;  // must be set; may be called before Submit() returns
};

// One attempt or probe on its way; the dispatcher numbers them, never twice the same.
enum class ExchangeId : std::uint64_t {};

// How an attempt or a probe ended.
struct ExchangeResult {
  balancer::Outcome outcome = balancer::Outcome::kServed;
  runtime::Duration elapsed{};
  balancer::LoadReport load{};
  // Of a served one, and of another where the upstream's answer is worth passing on.
  std::unique_ptr<Reply> reply;
};

// What an exchange reports while it goes on, each at most once, and its end exactly once.
struct ExchangeHooks {
  std::function<void()> on_written;  // the last byte of its message is written
  // An answer has begun and its body still comes; the end says whether all of it did.
  std::function<void(std::unique_ptr<Reply>)> on_started;
  std::function<void(ExchangeResult)> on_end;
};

// Carries attempts and probes to upstreams. Outlives the dispatcher that uses it.
class Transport {
 public:
  using OnEnd = std::function<void(ExchangeResult)>;
  virtual ~Transport() = default;

  // What membership says of one upstream. Where it drains, is gone, moved or started anew, nothing that has
  // not begun to be written to it is written any more: such attempts end as not sent.
  virtual void Apply(const std::string& uid, const Location& location) = 0;
  // Reports its end exactly once, also where nothing could be sent, perhaps at once. `timeout` counts from
  // now on, or from when the last byte is written of a message that is still coming, and covers all that the
  // attempt takes until an answer has started. Never sends a message twice by itself.
  virtual void Send(ExchangeId id, const std::string& uid, std::shared_ptr<const Message> message,
                    runtime::Duration timeout, ExchangeHooks hooks) = 0;
  // Asks the upstream for its load report, with a request of the transport's own.
  virtual void Probe(ExchangeId id, const std::string& uid, OnEnd on_end) = 0;
  // Stops waiting; the exchange still ends once. Unknown ids are ignored.
  virtual void Cancel(ExchangeId id) = 0;
  // Its request has its final answer, or its client left: what is not wholly written by now never will be,
  // and the exchange ends as not sent or as cancelled. What is written goes on. A connection that is coming
  // up may be waited for, since how that ends tells of the upstream. Unknown ids are ignored.
  virtual void Abandon(ExchangeId id) = 0;
  // Closes connections to the upstream that carry nothing.
  virtual void CloseIdle(const std::string& uid) = 0;
};

}  // namespace mothrack::dispatch
