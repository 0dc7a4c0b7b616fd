// The successor's side of a hot restart: finds the process that serves and takes over its state and its
// listening socket. server.h has the other side, and the messages.
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

// What the process that serves handed over.
struct InheritedState {
  State state;
  int listening = -1;          // the socket where clients connect; the caller's to close
  std::shared_ptr<Link> link;  // to the predecessor; not started
};

// Takes over from the process that serves by `path`, within `timeout`. Nothing where none does, or where what
// it sends can't be used, which is logged. Blocks: to be called before anything is served.
std::optional<InheritedState> TakeOver(boost::asio::io_context& io, const std::string& path,
                                       runtime::Duration timeout, runtime::Logger& log);

}  // namespace mothrack::hot_restart
