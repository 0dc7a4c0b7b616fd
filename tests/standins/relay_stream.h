// One direction of a TCP connection through a FaultyRelay: the bytes that were read from its sender and are
// delivered to its receiver when they are due. Bounds: Faults::queue_bytes for each direction. Not
// thread-safe: FaultyRelay holds its mutex around every call.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "standins/relay_link.h"

namespace mothrack::testing::relay {

class Stream {
 public:
  // Whether the connection can be used further after a system call.
  enum class IoResult { kContinue, kFailed };

  // The link must outlive the stream; its queued bytes are kept up to date.
  explicit Stream(Link& link) : link_(link) {}
  ~Stream() { Discard(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  Link& link() const { return link_; }
  bool ended() const { return ended_; }      // the sender sends nothing more
  bool done() const { return done_; }        // the receiver has received everything or is closed
  bool blocked() const { return blocked_; }  // the receiver's socket accepts no more for now
  bool HasRoom() const { return queued_bytes_ < link_.faults.queue_bytes; }
  // When the next bytes can be delivered; time_point::max() if none can.
  Clock::time_point NextDue() const;

  // Reads from the sender's socket, up to the free space of the queue, through `buffer`.
  IoResult Receive(int from, std::vector<char>& buffer, Clock::time_point now);
  // Writes what is due to the receiver's socket.
  IoResult Deliver(int to, Clock::time_point now);
  void Unblock() { blocked_ = false; }
  // The sender has closed; what it sent before is still delivered.
  void End() { ended_ = true; }
  // The receiver has closed; what is queued is discarded.
  void Abandon();
  // Reschedules what is queued as if the link's present faults had applied on its arrival.
  void Reschedule();

 private:
  struct Chunk {
    Clock::time_point arrived_at, due;
    std::string bytes;
    bool end = false;  // the end of the sender's data; the chunk has no bytes then
  };

  std::size_t ReadSize(std::size_t buffer_size) const;
  void Enqueue(Chunk chunk);
  void RemoveDelivered(std::size_t size);
  void Discard();

  Link& link_;
  std::deque<Chunk> chunks_;
  std::size_t queued_bytes_ = 0;
  bool ended_ = false;
  bool done_ = false;
  bool blocked_ = false;
};

}  // namespace mothrack::testing::relay
