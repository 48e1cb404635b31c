# Adds the library of one layer from all sources of its folder, and installs and
# exports it as cornelrudder::<layer>.
function(cornelrudder_add_layer aLayer)
  file(GLOB sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/*.cpp"
       "${CMAKE_CURRENT_SOURCE_DIR}/*/*.cpp")
  add_library(cornelrudder_${aLayer} STATIC ${sources})
  add_library(cornelrudder::${aLayer} ALIAS cornelrudder_${aLayer})
  set_target_properties(cornelrudder_${aLayer} PROPERTIES EXPORT_NAME ${aLayer})
  target_include_directories(cornelrudder_${aLayer} PUBLIC
    $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/include>
    $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
  install(TARGETS cornelrudder_${aLayer} EXPORT cornelrudderTargets
          ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
endfunction()
