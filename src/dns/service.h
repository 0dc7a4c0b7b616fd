// DNS as one sidecar serves it: front end, dispatcher and transport of one pool of resolvers. Used by the
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
  // Accepts queries at once. Throws boost::system::system_error where it can't listen. `descriptors` and
  // `log` must outlive it.
  Service(boost::asio::io_context& io, Settings settings, std::uint64_t seed,
          runtime::Descriptors& descriptors, runtime::Logger& log);

  // Open all the time: the listening sockets, UDP and TCP, and the descriptor that the ports are watched by.
  static std::size_t FixedDescriptors(const Settings& settings) { return 2 * settings.listen.size() + 1; }

  std::vector<runtime::Endpoint> local() const { return frontend_.local(); }
  // Applies the resolvers of `settings`; nothing else of them.
  void Follow(const Settings& settings);
  // A planned stop; `done` is called when every accepted query is answered.
  void Drain(std::function<void()> done) { frontend_.Drain(std::move(done)); }
  const dispatch::Dispatcher& dispatcher() const { return dispatcher_; }  // for the admin API and the log
  void LogCounts(runtime::Logger& log) const { counters_.Log(log); }

 private:
  const Settings settings_;
  Counters counters_;
  Transport transport_;
  dispatch::Dispatcher dispatcher_;
  Frontend frontend_;  // last: it accepts queries from here on, and is destroyed first
};

}  // namespace mothrack::dns
