#include "dns/service.h"

#include <utility>

namespace mothrack::dns {

Service::Service(boost::asio::io_context& io, Settings settings, std::uint64_t seed,
                 runtime::Descriptors& descriptors, runtime::Logger& log)
    : settings_(std::move(settings)),
      transport_(io, settings_, descriptors, counters_),
      dispatcher_(io, ModuleSettings(settings_), seed, transport_, log),
      frontend_(io, settings_, descriptors, log, dispatcher_, counters_) {
  dispatch::MembershipList list = Resolvers(settings_);
  list.update.kind = balancer::MembershipUpdate::Kind::kRestored;
  dispatcher_.Apply(std::move(list));
}

void Service::Follow(const Settings& settings) { dispatcher_.Apply(Resolvers(settings)); }

}  // namespace mothrack::dns
