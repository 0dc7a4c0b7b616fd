// The cluster's keys, read from a file that only its owner may access. The file has one key per line, 32
// random bytes as hex or base64. Datagrams are sealed with the first key, and both are accepted. To rotate
// without an interruption: add the new key as the second one on all members, then make it the first on all,
// then remove the old one from all (docs/design/gossip_wire.md).
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace mothrack::gossip {

constexpr std::size_t kKeySize = 32;     // bytes of a BLAKE2b key
constexpr std::size_t kMaxRingKeys = 2;  // the current key, and the next or previous one

// An error in the key file. what() names the location, the problem and its fix, but never contains the key.
class KeyFileError : public std::runtime_error {
 public:
  // `line` counts from 1; absent if the error does not concern a single line.
  KeyFileError(const std::string& path, std::optional<std::size_t> line, const std::string& cause);
  const std::optional<std::size_t>& line() const { return line_; }

 private:
  std::optional<std::size_t> line_;
};

// Secret bytes in separately allocated memory: excluded from swap and core dumps if the kernel allows it, and
// zeroed when freed.
class Secret {
 public:
  Secret();
  const std::uint8_t* data() const { return bytes_.get(); }
  std::uint8_t* data() { return bytes_.get(); }

 private:
  struct Free {
    void operator()(std::uint8_t* bytes) const;
  };
  std::unique_ptr<std::uint8_t, Free> bytes_;
};

// The data derived from one key of the file: an identifier that reveals nothing about it, and the bytes used
// for sealing.
struct Key {
  using Id = std::array<std::uint8_t, 4>;
  Id id{};
  std::shared_ptr<const Secret> seal;
};

// One or two keys.
using KeyRing = std::vector<Key>;

// Derives a Key from the 32 bytes of a key in the file.
Key MakeKey(const std::uint8_t* bytes);

// Reads the key file. Throws KeyFileError. An invalid file has no effect if the caller replaces its ring only
// by the returned one.
KeyRing LoadKeys(const std::string& path);

}  // namespace mothrack::gossip
