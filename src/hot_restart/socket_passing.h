// Passes an open socket to another process over a Unix socket (SCM_RIGHTS, unix(7)).
#pragma once

#include <sys/types.h>

#include <cstddef>

namespace mothrack::hot_restart {

// The byte that is sent with the socket, before the line with the state. A message without data cannot carry
// a descriptor.
inline constexpr char kSocketMarker = '\n';

// Sends `socket` with kSocketMarker over the Unix socket `to`. Returns false and sets errno on failure.
bool SendSocket(int to, int socket);

// Receives at most `size` bytes from `from`. Like recvmsg(2), it returns 0 at the end of the stream, or a
// negative value with errno set. A received socket is stored in `socket` and belongs to the caller; the
// previous value is closed unless negative.
ssize_t Receive(int from, char* bytes, std::size_t size, int& socket);

// Whether `socket` is a listening socket (SO_ACCEPTCONN).
bool IsListening(int socket);

}  // namespace mothrack::hot_restart
