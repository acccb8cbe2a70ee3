# Runtime library with the input and output around the decision library, and the programs that are
# deployed.
add_library(cornelshed_wire STATIC ${CMAKE_SOURCE_DIR}/schema/wire.capnp.c++
  ${CMAKE_SOURCE_DIR}/schema/peer.capnp.c++ ${CMAKE_SOURCE_DIR}/schema/gossip.capnp.c++
  ${CMAKE_SOURCE_DIR}/schema/admission.capnp.c++)
target_include_directories(cornelshed_wire SYSTEM PUBLIC ${CMAKE_SOURCE_DIR}/schema)
target_link_libraries(cornelshed_wire PUBLIC CapnProto::capnp CapnProto::capnp-rpc)
target_compile_options(cornelshed_wire PRIVATE -w)

# All sources in src/ that neither belong to the decision library nor contain a main function.
file(GLOB CORNELSHED_RUNTIME_FILES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/*.cpp)
list(REMOVE_ITEM CORNELSHED_RUNTIME_FILES ${CORNELSHED_CORE_FILES})
list(FILTER CORNELSHED_RUNTIME_FILES EXCLUDE REGEX "_main\\.cpp$")

add_library(cornelshed_runtime STATIC ${CORNELSHED_RUNTIME_FILES})
target_link_libraries(cornelshed_runtime PUBLIC cornelshed_core cornelshed_wire
  CapnProto::capnp CapnProto::capnp-rpc CapnProto::kj-async Boost::headers Boost::json glog::glog
  tomlplusplus::tomlplusplus docopt xxhash Threads::Threads)
target_compile_definitions(cornelshed_runtime PUBLIC
  CORNELSHED_VERSION="${PROJECT_VERSION}")

# Adds a program with the given main file and libraries. Does nothing if the main file does not
# exist.
function(cornelshed_program name main)
  if(EXISTS ${CMAKE_SOURCE_DIR}/${main})
    add_executable(${name} ${CMAKE_SOURCE_DIR}/${main})
    target_link_libraries(${name} PRIVATE ${ARGN})
  endif()
endfunction()

cornelshed_program(cornelshed-entryd src/entryd_main.cpp cornelshed_runtime)
cornelshed_program(cornelshed-agentd src/agentd_main.cpp cornelshed_runtime)
cornelshed_program(cornelshed-admitd src/admitd_main.cpp cornelshed_runtime)

# Adapter to the users' platform; the only library that depends on the platform's names.
add_library(cornelshed_platform STATIC ${CMAKE_SOURCE_DIR}/platform/platformheaders.cpp
  ${CMAKE_SOURCE_DIR}/platform/platformrows.cpp ${CMAKE_SOURCE_DIR}/platform/platformstore.cpp
  ${CMAKE_SOURCE_DIR}/platform/platformconfigurations.cpp ${CMAKE_SOURCE_DIR}/platform/platformduties.cpp)
target_include_directories(cornelshed_platform PUBLIC ${CMAKE_SOURCE_DIR}/platform)
target_link_libraries(cornelshed_platform PUBLIC cornelshed_runtime)
cornelshed_program(cornelshed-gatewayd platform/gatewayd_main.cpp cornelshed_platform)
cornelshed_program(cornelshed platform/operator_main.cpp cornelshed_platform)
