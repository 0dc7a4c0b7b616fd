# Encoding, seal and keys. Uses protobuf's lite runtime. The generated code stays in the build directory and
# is a separate library, so that our warnings do not apply to it.
find_package(Protobuf 3.12 REQUIRED)
find_path(SODIUM_INCLUDE_DIR sodium.h REQUIRED)
find_library(SODIUM_LIBRARY sodium REQUIRED)

set(peers_generated ${CMAKE_CURRENT_BINARY_DIR}/generated)
file(MAKE_DIRECTORY ${peers_generated})
add_custom_command(
  OUTPUT ${peers_generated}/gossip/peers.pb.cc ${peers_generated}/gossip/peers.pb.h
  COMMAND protobuf::protoc --proto_path=${PROJECT_SOURCE_DIR}/src --cpp_out=${peers_generated} gossip/peers.proto
  DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/peers.proto protobuf::protoc VERBATIM)
add_library(mothrack_gossip_proto STATIC ${peers_generated}/gossip/peers.pb.cc)
target_include_directories(mothrack_gossip_proto SYSTEM PUBLIC ${peers_generated})
target_link_libraries(mothrack_gossip_proto PUBLIC protobuf::libprotobuf-lite)
target_compile_options(mothrack_gossip_proto PRIVATE -w)

add_library(mothrack_gossip_wire keys.cpp seal.cpp wire.cpp)
target_include_directories(mothrack_gossip_wire SYSTEM PRIVATE ${SODIUM_INCLUDE_DIR})
target_link_libraries(mothrack_gossip_wire PUBLIC mothrack_gossip PRIVATE mothrack_gossip_proto ${SODIUM_LIBRARY})
target_compile_options(mothrack_gossip_wire PRIVATE -Wall -Wextra)
