// The successor's side of a hot restart: finds the process that serves and takes over its state and its
// listening socket. See server.h for the other side and messages for both.
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

// What a successor was handed.
struct Taken {
  State state;
  int listening = -1;  // the caller's
  std::shared_ptr<Link> link;
};

// Asks the process that serves by `path`, for at most `patience`. Nothing where none does, or what it says
// can't be used, which is logged. Blocks: to be called before anything is served.
std::optional<Taken> TakeOver(boost::asio::io_context& io, const std::string& path,
                              runtime::Duration patience, runtime::Logger& log);

}  // namespace mothrack::hot_restart
