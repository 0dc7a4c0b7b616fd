#include "sidecar/peers_link.h"

#include <iostream>

namespace mothrack::sidecar {
namespace {

// The section [peers] as text, to detect changes.
std::string SectionOf(const OperatorFile& file) {
  OperatorFile peers_only;
  peers_only.peers = file.peers;
  return EffectiveSettings(peers_only);
}

}  // namespace

std::unique_ptr<PeersLink> PeersLink::Create(boost::asio::io_context& io, const OperatorFile& file,
                                             const std::string& name, runtime::Logger& log) {
  if (!file.peers) return nullptr;
  try {
    auto link = std::make_unique<PeersLink>(io, file, name, log);
    if (const auto local = link->link_.local()) std::cerr << name << ": peers on " << *local << std::endl;
    return link;
  } catch (const gossip::TaskError& e) {
    throw ConfigError(file.path + ": " + e.what());
  }
}

PeersLink::PeersLink(boost::asio::io_context& io, const OperatorFile& file, const std::string& name,
                     runtime::Logger& log)
    : settings_(SectionOf(file)), link_(io, *file.peers, name, log) {}

void PeersLink::Apply(const OperatorFile& file, runtime::Logger& log) {
  if (SectionOf(file) != settings_) {
    log.Warn("changes_await_restart", {{"file", file.path}, {"part", "peers"}});
  }
  link_.ReloadKeys();
}

}  // namespace mothrack::sidecar
