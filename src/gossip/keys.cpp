#include "gossip/keys.h"

#include <fcntl.h>
#include <sodium.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <new>
#include <optional>
#include <string_view>

namespace mothrack::gossip {
namespace {

constexpr std::size_t kMaxKeyFileSize = 4096;  // bytes; two keys and a page of comments
constexpr std::size_t kHexSize = 2 * kKeySize;
constexpr std::size_t kBase64Size = 44;  // length of 32 bytes in base64, with padding
constexpr const char* kMend = "; write 32 random bytes as 64 hex digits (openssl rand -hex 32)";

// Separates the derived keys from each other and from any other use of the same key.
constexpr char kContext[crypto_kdf_CONTEXTBYTES + 1] = "mothpeer";
enum Purpose : std::uint64_t { kSealPurpose = 1, kIdPurpose = 2 };

void NeedSodium() {
  if (sodium_init() < 0)
    throw std::runtime_error("libsodium cannot be used on this machine: no source of randomness");
}

// The content of the file, zeroed however Load() ends.
struct Content {
  std::array<char, kMaxKeyFileSize + 1> bytes;
  std::size_t size = 0;
  ~Content() { sodium_memzero(bytes.data(), bytes.size()); }
};

struct File {
  int fd;
  ~File() {
    if (fd >= 0) ::close(fd);
  }
};

void ReadAll(const std::string& path, Content& content) {
  // Non-blocking, so that a FIFO of that name cannot block the task.
  const File file{::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK)};
  const auto fault = [&](const std::string& cause) { throw KeyFileError(path, std::nullopt, cause); };
  if (file.fd < 0)
    fault(std::string("cannot be opened: ") + std::strerror(errno) + "; make it with mode 0600");
  // Check the opened file, not the path: they may differ by now.
  struct stat about {};
  if (::fstat(file.fd, &about) != 0)
    fault(std::string("cannot be asked for its owner: ") + std::strerror(errno));
  if (!S_ISREG(about.st_mode)) fault("is no regular file; give the path of one");
  if (about.st_uid != ::geteuid()) {
    fault("belongs to user " + std::to_string(about.st_uid) + "; chown it to " + std::to_string(::geteuid()) +
          ", who runs this");
  }
  if ((about.st_mode & 0177) != 0)
    fault("others may use it; chmod 0600 it, and change the keys if they were read");
  while (content.size < content.bytes.size()) {
    const auto got =
        ::read(file.fd, content.bytes.data() + content.size, content.bytes.size() - content.size);
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) fault(std::string("cannot be read: ") + std::strerror(errno));
    if (got == 0) return;
    content.size += static_cast<std::size_t>(got);
  }
  fault("is longer than 4096 bytes; keep one or two keys in it and short comments");
}

std::string_view Trim(std::string_view line) {
  constexpr std::string_view kBlanks = " \t\r";
  const auto first = line.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  return line.substr(first, line.find_last_not_of(kBlanks) - first + 1);
}

// Returns what is wrong with the text, or nothing.
std::optional<std::string> Decode(std::string_view text, Secret& key) {
  const bool base64 = text.size() == kBase64Size && text.back() == '=';
  if (!base64 && text.size() != kHexSize) {
    return std::string("a key of ") + std::to_string(text.size()) +
           " characters, where 64 hex or 44 base64 are wanted";
  }
  std::size_t size = 0;
  const bool read =
      base64 ? sodium_base642bin(key.data(), kKeySize, text.data(), text.size(), nullptr, &size, nullptr,
                                 sodium_base64_VARIANT_ORIGINAL) == 0
             : sodium_hex2bin(key.data(), kKeySize, text.data(), text.size(), nullptr, &size, nullptr) == 0;
  if (!read || size != kKeySize) return base64 ? "the key is not base64" : "the key is not hex";
  if (std::all_of(key.data(), key.data() + kKeySize, [&](auto byte) { return byte == *key.data(); })) {
    return "the key is one byte over and over";  // a placeholder that was never replaced
  }
  return std::nullopt;
}

std::string PlaceOf(const std::string& path, std::optional<std::size_t> line) {
  return line ? path + ':' + std::to_string(*line) : path;
}

}  // namespace

KeyFileError::KeyFileError(const std::string& path, std::optional<std::size_t> line, const std::string& cause)
    : std::runtime_error(PlaceOf(path, line) + ": " + cause), line_(line) {}

Secret::Secret() {
  NeedSodium();
  bytes_.reset(static_cast<std::uint8_t*>(sodium_malloc(kKeySize)));
  if (!bytes_) throw std::bad_alloc();
}

void Secret::Free::operator()(std::uint8_t* bytes) const { sodium_free(bytes); }

Key MakeKey(const std::uint8_t* bytes) {
  NeedSodium();
  Key key;
  auto seal = std::make_shared<Secret>();
  crypto_kdf_derive_from_key(seal->data(), kKeySize, kSealPurpose, kContext, bytes);
  std::array<std::uint8_t, crypto_kdf_BYTES_MIN> id;
  crypto_kdf_derive_from_key(id.data(), id.size(), kIdPurpose, kContext, bytes);
  std::copy_n(id.begin(), key.id.size(), key.id.begin());
  key.seal = std::move(seal);
  return key;
}

KeyRing Load(const std::string& path) {
  NeedSodium();
  Content content;
  ReadAll(path, content);
  KeyRing ring;
  std::vector<std::size_t> lines;  // of the ring's keys
  std::string_view rest(content.bytes.data(), content.size);
  for (std::size_t number = 1; !rest.empty(); ++number) {
    const auto end = std::min(rest.find('\n'), rest.size());
    const std::string_view text = Trim(rest.substr(0, end));
    rest.remove_prefix(std::min(end + 1, rest.size()));
    if (text.empty() || text.front() == '#') continue;
    const auto fault = [&](const std::string& cause) { throw KeyFileError(path, number, cause); };
    if (ring.size() == kMaxRingKeys) fault("a third key; take out one that nobody seals with any more");
    Secret bytes;
    if (const auto wrong = Decode(text, bytes)) fault(*wrong + kMend);
    ring.push_back(MakeKey(bytes.data()));
    lines.push_back(number);
    // Compare the ids: this also rejects two different keys whose ids coincide, one of which would never be
    // used.
    if (ring.size() == 2 && ring[0].id == ring[1].id) {
      fault("the same key as in line " + std::to_string(lines[0]) + "; take out one of the two");
    }
  }
  if (ring.empty()) throw KeyFileError(path, std::nullopt, std::string("holds no key") + kMend);
  return ring;
}

}  // namespace mothrack::gossip
