// Hands an open socket to another process over a Unix socket (SCM_RIGHTS, unix(7)).
#pragma once

#include <sys/types.h>

#include <cstddef>

namespace mothrack::hot_restart {

// The byte that a socket goes along with, ahead of the state's line: a message without bytes carries none.
inline constexpr char kSocketMarker = '\n';

// Sends `socket` along with kWithSocket over the Unix socket `to`; false, and errno set, where it can't.
bool SendSocket(int to, int socket);

// What recvmsg(2) gives on `from`: at most `size` bytes, 0 at the end, negative with errno set. A socket that
// came along replaces `socket`, which is closed unless it is negative; the caller owns it.
ssize_t Receive(int from, char* bytes, std::size_t size, int& socket);

bool IsListening(int socket);

}  // namespace mothrack::hot_restart
