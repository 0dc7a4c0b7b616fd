#include "hot_restart/socket_passing.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace mothrack::hot_restart {
namespace {

union ControlBuffer {
  cmsghdr align;
  std::array<char, CMSG_SPACE(sizeof(int))> bytes;
};

}  // namespace

bool SendSocket(int to, int socket) {
  char byte = kSocketMarker;
  iovec buffer{&byte, 1};
  ControlBuffer control{};
  msghdr message{};
  message.msg_iov = &buffer;
  message.msg_iovlen = 1;
  message.msg_control = control.bytes.data();
  message.msg_controllen = control.bytes.size();
  cmsghdr* header = CMSG_FIRSTHDR(&message);
  header->cmsg_level = SOL_SOCKET;
  header->cmsg_type = SCM_RIGHTS;
  header->cmsg_len = CMSG_LEN(sizeof socket);
  std::memcpy(CMSG_DATA(header), &socket, sizeof socket);
  ssize_t sent = 0;
  do {
    sent = ::sendmsg(to, &message, MSG_NOSIGNAL);
  } while (sent < 0 && errno == EINTR);
  return sent == 1;
}

ssize_t Receive(int from, char* bytes, std::size_t size, int& socket) {
  iovec buffer{bytes, size};
  ControlBuffer control{};
  msghdr message{};
  message.msg_iov = &buffer;
  message.msg_iovlen = 1;
  message.msg_control = control.bytes.data();
  message.msg_controllen = control.bytes.size();
  ssize_t received = 0;
  do {
    received = ::recvmsg(from, &message, MSG_CMSG_CLOEXEC);
  } while (received < 0 && errno == EINTR);
  for (cmsghdr* header = received > 0 ? CMSG_FIRSTHDR(&message) : nullptr; header != nullptr;
       header = CMSG_NXTHDR(&message, header)) {
    if (header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_RIGHTS) continue;
    if (socket >= 0) ::close(socket);
    std::memcpy(&socket, CMSG_DATA(header), sizeof socket);
  }
  return received;
}

bool IsListening(int socket) {
  int listening = 0;
  socklen_t size = sizeof listening;
  return ::getsockopt(socket, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) == 0 && listening == 1;
}

}  // namespace mothrack::hot_restart
