// The successor's side of a hot restart: finds the serving process and takes over its state and its listening
// socket. server.h describes the protocol and has the other side.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>

#include "hot_restart/link.h"
#include "hot_restart/state.h"
#include "runtime/clock.h"
#include "runtime/log.h"

namespace mothrack::hot_restart {

// The state, the socket and the link that a successor got from the serving process.
struct InheritedState {
  State state;
  int listening = -1;          // the listening socket for clients; the caller must close it
  std::shared_ptr<Link> link;  // the link to the predecessor; Start() is not called yet
};

// Takes over from the process that listens at `path`, within `timeout`. Returns nothing if there is no such
// process or if its data is unusable, which is logged. Blocks, so it must be called before anything is
// served.
std::optional<InheritedState> TakeOver(boost::asio::io_context& io, const std::string& path,
                                       runtime::Duration timeout, runtime::Logger& log);

}  // namespace mothrack::hot_restart
