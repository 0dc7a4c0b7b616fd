// The DNS service of one sidecar: front end, dispatcher and transport of one pool of resolvers. Used on the
// thread of the event loop only.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "dispatch/dispatcher.h"
#include "dns/frontend.h"
#include "dns/query.h"
#include "dns/settings.h"
#include "dns/transport.h"
#include "runtime/descriptors.h"
#include "runtime/log.h"

namespace mothrack::dns {

class Service {
 public:
  // Accepts queries at once. Throws boost::system::system_error if it cannot listen. `seed` initializes the
  // dispatcher's random choices. `descriptors` and `log` must outlive this object.
  Service(boost::asio::io_context& io, Settings settings, std::uint64_t seed,
          runtime::Descriptors& descriptors, runtime::Logger& log);

  // Number of descriptors that are always open: the UDP and TCP listening sockets, and the epoll descriptor
  // that watches the UDP ports.
  static std::size_t FixedDescriptors(const Settings& settings) { return 2 * settings.listen.size() + 1; }

  // See Frontend::local().
  std::vector<runtime::Endpoint> local() const { return frontend_.local(); }
  // Applies the resolvers of `settings` and ignores its other fields.
  void Follow(const Settings& settings);
  // Starts a planned stop. `done` is called when every accepted query is answered.
  void Drain(std::function<void()> done) { frontend_.Drain(std::move(done)); }
  const dispatch::Dispatcher& dispatcher() const { return dispatcher_; }  // for the admin API and the log
  // Logs the counters as one line.
  void LogCounts(runtime::Logger& log) const { counters_.Log(log); }

 private:
  const Settings settings_;
  Counters counters_;
  Transport transport_;
  dispatch::Dispatcher dispatcher_;
  Frontend frontend_;  // last, because it delivers queries as soon as it exists and must be destroyed first
};

}  // namespace mothrack::dns
