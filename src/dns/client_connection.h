// A client's TCP connection: many queries at once, answered in the order in which the responses come (RFC
// 7766 section 7). Used by the thread of the event loop only.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

#include "dns/frames.h"
#include "dns/frontend.h"
#include "dns/settings.h"
#include "runtime/clock.h"
#include "runtime/descriptors.h"

namespace mothrack::dns {

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  using OnClose = std::function<void(const std::shared_ptr<ClientConnection>&)>;

  // `number` tells connections of one server apart. `on_close` is called once, unless Drop() comes first. The
  // references must live until then.
  ClientConnection(boost::asio::ip::tcp::socket socket, std::uint64_t number, const Settings& settings,
                   runtime::Descriptors& descriptors, Frontend& frontend, OnClose on_close);

  void Start() { WaitReadable(); }
  // Open queries get no response any more.
  void Close();
  // The server is destroyed: handlers that are still to come do nothing.
  void Drop();

  // When it became idle or was accepted.
  runtime::TimePoint idle_since() const { return idle_since_; }
  // No part of a query has been read and no response is missing.
  bool idle() const { return open_.empty() && frame_reader_.empty() && unwritten_.empty(); }
  // Was accepted so lately that its first query may be on the way.
  bool IsNew(runtime::TimePoint now) const;
  // Idle, and no byte of a query waits in the system's buffer either.
  bool CanCloseUnnoticed();

  // Closes it where the client takes longer than the settings allow.
  void CloseIfOverdue(runtime::TimePoint now);

 private:
  // The bounds on open queries and on responses that the client does not read.
  bool IsPaused() const;
  bool HasNothingToWrite() const { return open_.empty() && unwritten_.empty(); }
  void WaitReadable();
  void Receive();
  void ProcessFrames();
  void HandleFrame(Bytes message);
  void Send(const Buffer& response);
  void Flush();

  const Settings& settings_;
  Frontend& frontend_;
  const OnClose on_close_;
  std::optional<runtime::Descriptors::Slot> slot_;
  boost::asio::ip::tcp::socket socket_;
  Frontend::Client client_;
  std::unordered_set<Frontend::Handle> open_;
  FrameReader frame_reader_;
  Buffer unwritten_;
  runtime::TimePoint idle_since_;
  runtime::TimePoint read_started_;   // of the frame that is incomplete
  runtime::TimePoint write_started_;  // or made progress
  bool unused_ = true;                // no frame has come
  bool waiting_ = false;              // for bytes
  bool flushing_ = false;             // waits until the socket is writable
  bool processing_ = false;           // in ProcessFrames()
  bool ended_ = false;                // the client sends no more
  bool broken_ = false;               // it sent a frame that is no message: nothing more is read
  bool closed_ = false;
};

}  // namespace mothrack::dns
