# Stand-ins for external systems (engine, service, platform), used by tests and tools only. Programs
# that are deployed must not link this library.
file(GLOB CORNELSHED_STANDIN_FILES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/standins/*.cpp)
list(FILTER CORNELSHED_STANDIN_FILES EXCLUDE REGEX "_main\\.cpp$")
if(CORNELSHED_STANDIN_FILES)
  add_library(cornelshed_standins STATIC ${CORNELSHED_STANDIN_FILES})
  target_include_directories(cornelshed_standins PUBLIC ${CMAKE_SOURCE_DIR}/standins)
  target_link_libraries(cornelshed_standins PUBLIC Boost::headers Boost::json glog::glog docopt
    xxhash tomlplusplus::tomlplusplus Threads::Threads)
  cornelshed_program(standin-engine standins/engine_main.cpp cornelshed_standins)
  cornelshed_program(standin-service standins/service_main.cpp cornelshed_standins)
  cornelshed_program(standin-platform standins/platform_main.cpp cornelshed_standins)
endif()
