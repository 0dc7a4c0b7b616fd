#include "sidecar.h"

#include <exception>
#include <string>
#include <utility>

namespace mothrack {
namespace {

using kestrellb::MembershipUpdate;

MembershipList Known(const nlohmann::json& known, const UnixClock& clock) {
  MembershipList list;
  if (!known.is_null()) {
    try {
      list = ParseList(known, clock);
    } catch (const std::exception& e) {
      throw ConfigError(std::string("LB_CONFIG: known: ") + e.what());
    }
  }
  list.update.kind = MembershipUpdate::Kind::kRestored;
  return list;
}

}  // namespace

Sidecar::Sidecar(boost::asio::io_context& io, const Config& config, Descriptors& descriptors, Logger& log)
    : log_(log),
      transport_(io, config.settings.limits, config.settings.load_by_probe, descriptors),
      dispatcher_(io, config.settings, config.seed, transport_, log, [this] { discovery_.Ask(); }),
      discovery_(
          io, config.discovery, config.settings.membership_on_request, unix_clock_, log,
          [this](MembershipList list) { dispatcher_.Apply(std::move(list)); },
          [this] { dispatcher_.MembershipFailed(); }),
      front_(io, config.listen, descriptors, log, dispatcher_) {
  dispatcher_.Apply(Known(config.known, unix_clock_));
  // Where membership is told on request, the module asks.
  if (!config.settings.membership_on_request) discovery_.Ask();
}

void Sidecar::Reconfigure(const Config& config) {
  Known(config.known, unix_clock_);  // checked like the rest, though the list from discovery is newer
  log_.Line("configuration read again");
  discovery_.MoveTo(config.discovery);
}

}  // namespace mothrack
