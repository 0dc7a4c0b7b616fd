#include "sidecar/sidecar.h"

#include <exception>
#include <string>
#include <utility>

namespace mothrack::sidecar {
namespace {

using balancer::MembershipUpdate;

// The deployment's last known endpoint list; empty if there is none. Throws ConfigError.
dispatch::MembershipList ParseKnownList(const nlohmann::json& known) {
  dispatch::MembershipList list;
  if (!known.is_null()) {
    try {
      list = discovery::ParseList(known);
    } catch (const std::exception& e) {
      throw ConfigError(std::string("LB_CONFIG: known: ") + e.what());
    }
  }
  list.update.kind = MembershipUpdate::Kind::kRestored;
  return list;
}

// How long a successor waits for discovery's list before it accepts clients. Its known list may be as old as
// its predecessor, while the agent of this machine answers at once.
constexpr runtime::Duration kListTimeout = std::chrono::milliseconds(500);

// The share of the memory limit for the bytes of messages. The rest is for the process itself, its
// connections without their messages, and what the allocator cannot reuse: docs/design/connection_limits.md.
constexpr std::size_t kMessageMemoryNumerator = 3;
constexpr std::size_t kMessageMemoryDenominator = 8;

runtime::ListenOptions ListenOptionsOf(const Config& config, const Sidecar::Inheritance& inheritance) {
  runtime::ListenOptions options(config.listen);
  options.inherited_socket = inheritance.listening;
  options.share_port = inheritance.share_port;
  options.paused = inheritance.wait_for_list;
  return options;
}

}  // namespace

Sidecar::Sidecar(boost::asio::io_context& io, const Config& config, const Inheritance& inheritance,
                 runtime::Descriptors& descriptors, runtime::Logger& log, std::function<void()> on_ready)
    : start_times_(runtime::ReadClocks()),
      log_(log),
      budget_(config.memory / kMessageMemoryDenominator * kMessageMemoryNumerator),
      transport_(io, config.settings.limits, config.settings.load_by_probe, descriptors, budget_),
      dispatcher_(io, config.settings, config.seed, transport_, log, [this] { discovery_.Start(); }),
      discovery_(io, config.discovery,
                 discovery::PollPolicy::For(discovery::StalenessRules::FromSettings(config.settings)),
                 config.seed, start_times_, log,
                 [this](dispatch::MembershipList list) {
                   dispatcher_.Apply(std::move(list));
                   if (!ready_) StartServing();
                 }),
      on_ready_(std::move(on_ready)),
      list_timeout_(io),
      front_(io, ListenOptionsOf(config, inheritance), descriptors, budget_, log, dispatcher_) {
  // Inherited state takes effect before any attempt is sent.
  dispatcher_.RestoreBans(inheritance.bans);
  for (const std::string& id : inheritance.ids) dispatcher_.ImportKey(id);
  front_.Quiesce(inheritance.quiescing);
  ShareMemory(inheritance.share_memory);
  start_times_.Import(inheritance.starts, inheritance.last_list);
  dispatch::MembershipList known = ParseKnownList(config.known);
  start_times_.SetStartTimes(known, runtime::ReadClocks());
  // Poll for changes since the known list: after a mass restart complete lists for all sidecars would
  // overload the discovery service.
  if (config.settings.membership_on_request && !config.known.is_null())
    discovery_.SetKnownRevision(known.revision);
  dispatcher_.Apply(std::move(known));
  // If the list is sent only on request, the module starts discovery itself.
  if (!config.settings.membership_on_request) discovery_.Start();
  list_timeout_.expires_after(inheritance.wait_for_list ? kListTimeout : runtime::Duration::zero());
  list_timeout_.async_wait([this](const boost::system::error_code& error) {
    if (!error && !ready_) StartServing();
  });
}

void Sidecar::StartServing() {
  ready_ = true;
  front_.ResumeAccepting();
  on_ready_();
}

void Sidecar::Reconfigure(const Config& config) {
  ParseKnownList(config.known);  // validated only, as the list from discovery is newer
  log_.Info("configuration_reloaded");
  discovery_.SetEndpoint(config.discovery);
}

}  // namespace mothrack::sidecar
