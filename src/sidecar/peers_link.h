// The sidecar's link to its peers (src/gossip/link.h), if the operator's file asks for it and the program was
// built with it; else nothing of it is linked, and no thread, no socket and no byte is spent.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "runtime/log.h"
#include "sidecar/operator_file.h"
#ifdef MOTHRACK_WITH_PEERS
#include "gossip/link.h"
#endif

namespace mothrack::sidecar {

#ifdef MOTHRACK_WITH_PEERS
// Used by the one thread of the event loop.
class PeersLink {
 public:
  // Descriptors that are open all the time.
  static std::size_t FixedDescriptors(const OperatorFile& file) {
    return file.peers ? gossip::GossipClient::kFixedDescriptors : 0;
  }
  // Null where the file has no [peers]. Prints where it listens on standard error. Throws ConfigError.
  static std::unique_ptr<PeersLink> Create(boost::asio::io_context& io, const OperatorFile& file,
                                           const std::string& name, runtime::Logger& log);

  PeersLink(boost::asio::io_context& io, const OperatorFile& file, const std::string& name,
            runtime::Logger& log);

  // The file was read again: the keys count at once, the rest from the next start on.
  void Apply(const OperatorFile& file, runtime::Logger& log);
  // Tells the peers that this sidecar stops.
  void Leave() { link_.Leave(); }
  nlohmann::json Report() const { return link_.Report(); }

 private:
  const std::string settings_;  // as at the start
  gossip::GossipClient link_;
};
#else
class PeersLink {
 public:
  static std::size_t FixedDescriptors(const OperatorFile&) { return 0; }
  static std::unique_ptr<PeersLink> Create(boost::asio::io_context&, const OperatorFile&, const std::string&,
                                           runtime::Logger&) {
    return nullptr;
  }
  void Apply(const OperatorFile&, runtime::Logger&) {}
  void Leave() {}
  nlohmann::json Report() const { return nullptr; }
};
#endif

}  // namespace mothrack::sidecar
