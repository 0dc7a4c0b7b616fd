#include "http/message_forms.h"

#include <functional>
#include <stdexcept>

namespace mothrack::testing {
namespace {

const std::string kHost = "Host: h\r\n";

std::string Fields(const std::string& id) { return "X-Request-ID: " + id + "\r\nX-Timeout-Ms: 5000\r\n"; }

struct RequestParts {
  std::string line = "GET /page/k HTTP/1.1\r\n";
  std::string fields = kHost;
  std::string body{};
};

RequestParts Post(const std::string& fields, const std::string& body) {
  return {"POST /submit/k HTTP/1.1\r\n", kHost + fields, body};
}

RequestParts GetWithHost(const std::string& host) { return {"GET /page/k HTTP/1.1\r\n", host}; }

std::string ManyFields() {
  std::string fields;
  for (int i = 0; i < 300; ++i) fields += "a:\r\n";
  return fields;
}

const std::string kChunked = "Transfer-Encoding: chunked\r\n";
const std::string kLength5 = "Content-Length: 5\r\n";

const std::map<std::string, RequestParts>& Requests() {
  static const std::map<std::string, RequestParts> requests = {
      {"GET", {}},
      {"GET with an empty Host", GetWithHost("Host:\r\n")},
      {"GET with an IPv6 Host", GetWithHost("Host: [::1]:80\r\n")},
      {"GET of HTTP/1.0 without Host", {"GET /page/k HTTP/1.0\r\n", ""}},
      {"POST with a length", Post(kLength5, "abcde")},
      {"POST with length 0", Post("Content-Length: 0\r\n", "")},
      {"POST with chunks", Post(kChunked, "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")},
      {"POST with a chunk extension and a trailer", Post(kChunked, "5;x=y\r\nabcde\r\n0\r\nX-A: b\r\n\r\n")},
      {"a health check without Host", {"GET /up HTTP/1.1\r\n", ""}},
      {"a method other than GET and POST", {"PUT /submit/k HTTP/1.1\r\n", kHost + kLength5, "abcde"}},
      {"no request line", {"hello\r\n", kHost}},
      {"a bare LF", {"GET /page/k HTTP/1.1\r\n", kHost + "X-A: b\n"}},
      {"a bare CR", {"GET /page/k HTTP/1.1\r\n", kHost + "X-A: b\rc\r\n"}},
      {"a NUL", {"GET /page/k HTTP/1.1\r\n", kHost + std::string("X-A: b\0c\r\n", 10)}},
      {"a folded field", {"GET /page/k HTTP/1.1\r\n", kHost + "X-A: b\r\n c\r\n"}},
      {"a space before the colon", {"GET /page/k HTTP/1.1\r\n", kHost + "X-A : b\r\n"}},
      {"a head too long", {"GET /page/k HTTP/1.1\r\n", kHost + "X-A: " + std::string(20'000, 'a') + "\r\n"}},
      {"HTTP/2.0", {"GET /page/k HTTP/2.0\r\n", kHost}},
      {"300 fields", {"GET /page/k HTTP/1.1\r\n", kHost + ManyFields()}},
      {"no Host", GetWithHost("")},
      {"two Hosts", GetWithHost(kHost + kHost)},
      {"a Host with a space", GetWithHost("Host: a b\r\n")},
      {"a Host with a path", GetWithHost("Host: h/p\r\n")},
      {"a Host with user information", GetWithHost("Host: u@h\r\n")},
      {"a Host with a port that is no number", GetWithHost("Host: h:x\r\n")},
      {"a Host with an open bracket", GetWithHost("Host: [::1\r\n")},
      {"a fragment in the target", {"GET /page/k#part HTTP/1.1\r\n"}},
      {"a byte over 127 in the target", {"GET /page/\x80 HTTP/1.1\r\n"}},
      {"length and coding", Post(kLength5 + kChunked, "0\r\n\r\n")},
      {"two codings", Post(kChunked + kChunked, "0\r\n\r\n")},
      {"coding in HTTP/1.0", {"POST /submit/k HTTP/1.0\r\n", kHost + kChunked, "0\r\n\r\n"}},
      {"an unknown coding", Post("Transfer-Encoding: gzip\r\n", "")},
      {"a signed length", Post("Content-Length: +5\r\n", "abcde")},
      {"a hexadecimal length", Post("Content-Length: 0x5\r\n", "abcde")},
      {"two lengths", Post(kLength5 + kLength5, "abcde")},
      {"a length over 64 bits", Post("Content-Length: 18446744073709551617\r\n", "a")},
      {"a length over the limit", Post("Content-Length: 70000000\r\n", "a")},
      {"a chunk size that is no number", Post(kChunked, "z\r\nabc\r\n0\r\n\r\n")},
      {"a chunk longer than its size", Post(kChunked, "3\r\nabcde\r\n0\r\n\r\n")},
      {"a chunk size over the limit", Post(kChunked, "4400000\r\nabc")},
      {"a Host in the trailer", Post(kChunked, "5\r\nabcde\r\n0\r\nHost: h\r\n\r\n")},
      {"a length shorter than the body", Post("Content-Length: 2\r\n", "abcde")},
      {"length 0 and a body", Post("Content-Length: 0\r\n", "abcde")},
      {"a GET and noise", {"GET /page/k HTTP/1.1\r\n", kHost, "noise"}},
      {"chunks and noise", Post(kChunked, "5\r\nabcde\r\n0\r\n\r\nnoise")},
  };
  return requests;
}

const std::string kOk = "HTTP/1.1 200 OK\r\n";

std::string LengthField(std::size_t length) { return "Content-Length: " + std::to_string(length) + "\r\n"; }

std::string Whole(const std::string& body) { return kOk + LengthField(body.size()) + "\r\n" + body; }

std::string Chunk(const std::string& bytes) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

using MakeAnswer = std::function<AnswerForm(const std::string& body)>;

// A form that ends by its framing, with these fields and this text behind the head.
MakeAnswer Framed(const std::string& fields, const std::string& before = kOk) {
  return [fields, before](const std::string& body) {
    return AnswerForm{before + fields + LengthField(body.size()) + "\r\n" + body};
  };
}

const std::map<std::string, MakeAnswer>& Answers() {
  using Body = const std::string&;
  static const std::map<std::string, MakeAnswer> answers = {
      {"a length", [](Body body) { return AnswerForm{Whole(body)}; }},
      {"chunks", [](Body body) { return AnswerForm{kOk + kChunked + "\r\n" + Chunk(body) + "0\r\n\r\n"}; }},
      {"ended by the close",
       [](Body body) {
         return AnswerForm{kOk + "Connection: close\r\n\r\n" + body, true};
       }},
      {"interim answers before it",
       [](Body body) {
         return AnswerForm{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 x\r\nLink: x\r\n\r\n" + Whole(body)};
       }},
      {"a second copy behind it", [](Body body) { return AnswerForm{Whole(body) + Whole(body)}; }},
      {"half of a second copy behind it",
       [](Body body) { return AnswerForm{Whole(body) + Whole(body).substr(0, 12)}; }},
      {"noise instead of a status line", [](Body) { return AnswerForm{"\x01\x02 noise\r\n\r\n"}; }},
      {"a bare LF in the head",
       [](Body body) { return AnswerForm{"HTTP/1.1 200 OK\n" + LengthField(body.size()) + "\r\n" + body}; }},
      {"HTTP/2.0", Framed("", "HTTP/2.0 200 OK\r\n")},
      {"300 fields", Framed(ManyFields())},
      {"length and coding",
       [](Body body) {
         return AnswerForm{kOk + LengthField(body.size()) + kChunked + "\r\n" + Chunk(body) + "0\r\n\r\n"};
       }},
      {"two lengths", [](Body body) { return Framed(LengthField(body.size()))(body); }},
      {"coding in HTTP/1.0",
       [](Body body) {
         return AnswerForm{"HTTP/1.0 200 OK\r\n" + kChunked + "\r\n" + Chunk(body) + "0\r\n\r\n", true};
       }},
      {"an unknown coding",
       [](Body body) {
         return AnswerForm{kOk + "Connection: close\r\nTransfer-Encoding: gzip\r\n\r\n" + body, true};
       }},
      {"a signed length",
       [](Body body) {
         return AnswerForm{kOk + "Content-Length: +" + std::to_string(body.size()) + "\r\n\r\n" + body};
       }},
      {"neither a length nor a close",
       [](Body body) {
         return AnswerForm{kOk + "\r\n" + body, true};
       }},
      {"switching protocols", [](Body) { return AnswerForm{"HTTP/1.1 101 x\r\nUpgrade: x\r\n\r\n"}; }},
      {"a chunk size that is no number",
       [](Body body) { return AnswerForm{kOk + kChunked + "\r\nz\r\n" + body + "\r\n0\r\n\r\n"}; }},
      {"a chunk longer than its size",
       [](Body body) { return AnswerForm{kOk + kChunked + "\r\n1\r\n" + body + "\r\n0\r\n\r\n"}; }},
      {"a length longer than the body",
       [](Body body) {
         return AnswerForm{kOk + LengthField(body.size() + 3) + "\r\n" + body, true};
       }},
      {"chunks without the last one",
       [](Body body) {
         return AnswerForm{kOk + kChunked + "\r\n" + Chunk(body), true};
       }},
      {"a length shorter than the body",
       [](Body body) { return AnswerForm{kOk + LengthField(body.size() - 3) + "\r\n" + body}; }},
      {"length 0 and a body", [](Body body) { return AnswerForm{kOk + LengthField(0) + "\r\n" + body}; }},
      {"noise behind it", [](Body body) { return AnswerForm{Whole(body) + "\x01noise"}; }},
      {"chunks and noise behind them",
       [](Body body) { return AnswerForm{kOk + kChunked + "\r\n" + Chunk(body) + "0\r\n\r\nnoise"}; }},
  };
  return answers;
}

}  // namespace

std::string RequestOfForm(const std::string& form, const std::string& id) {
  const auto found = Requests().find(form);
  if (found == Requests().end()) throw std::runtime_error("no bytes for the form: " + form);
  const RequestParts& parts = found->second;
  return parts.line + Fields(id) + parts.fields + "\r\n" + parts.body;
}

AnswerForm AnswerOfForm(const std::string& form, const std::string& body) {
  const auto found = Answers().find(form);
  if (found == Answers().end()) throw std::runtime_error("no bytes for the form: " + form);
  return found->second(body);
}

}  // namespace mothrack::testing
